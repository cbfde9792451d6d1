package main

// scenarios holds the cases by the names that their scripts use.
var scenarios = map[string]scenario{
	"foreignService":   {play: playForeignService},
	"largeJob":         {play: playLargeJob},
	"garbledHeartbeat": {play: playGarbledHeartbeat},
	"starvedFiller":    {play: playStarvedFiller},
	"lateOrder":        {play: playLateOrder},
}
