package keeper

import "github.com/carobrock/carobrock"

// keyRow is the stored state of an idempotency key.
type keyRow struct {
	Fingerprint    string                      `json:"fingerprint"`
	Owner          string                      `json:"owner"`
	State          carobrock.KeyState          `json:"state"`
	ClaimedUnixSec int64                       `json:"atUnixSec"`
	Response       *carobrock.RecordedResponse `json:"answer,omitempty"`
}

// changeKeys claims, completes and releases idempotency keys.
func (k *Keeper) changeKeys(c *carobrock.ClaimKeys, res *carobrock.Result) {
	res.Keys = make([]carobrock.KeyResult, len(c.Changes))
	for i := range c.Changes {
		res.Keys[i] = k.changeKey(&c.Changes[i])
	}
}

func (k *Keeper) changeKey(ch *carobrock.KeyChange) carobrock.KeyResult {
	row := k.state.Keys[ch.Key]
	switch ch.Action {
	case carobrock.KeyActionClaim:
		return k.claimKey(row, ch)
	case carobrock.KeyActionComplete:
		if row == nil || row.Owner != ch.Owner || row.State != carobrock.KeyClaimed {
			return refusedKey(row)
		}
		row.State, row.Response = carobrock.KeyDone, ch.Response
		return carobrock.KeyResult{Granted: true}
	case carobrock.KeyActionRelease:
		if row == nil || row.Owner != ch.Owner || row.State != carobrock.KeyClaimed {
			return refusedKey(row)
		}
		delete(k.state.Keys, ch.Key)
		return carobrock.KeyResult{Granted: true}
	default:
		return refusedKey(row)
	}
}

// claimKey claims the key if it is not in use. A repeated claim by the owner
// succeeds.
func (k *Keeper) claimKey(row *keyRow, ch *carobrock.KeyChange) carobrock.KeyResult {
	if row == nil {
		k.state.Keys[ch.Key] = &keyRow{
			Fingerprint: ch.Fingerprint, Owner: ch.Owner, State: carobrock.KeyClaimed, ClaimedUnixSec: ch.AtUnixSec,
		}
		return carobrock.KeyResult{Granted: true}
	}
	if row.Owner == ch.Owner && row.State == carobrock.KeyClaimed {
		return carobrock.KeyResult{Granted: true}
	}
	res := refusedKey(row)
	res.Mismatch = row.Fingerprint != ch.Fingerprint
	return res
}

// refusedKey returns the result of a change that was not applied to row, which
// may be nil.
func refusedKey(row *keyRow) carobrock.KeyResult {
	if row == nil {
		return carobrock.KeyResult{}
	}
	return carobrock.KeyResult{State: row.State, Response: row.Response}
}

// expireKeys deletes the idempotency keys that were claimed before
// c.BeforeUnixSec.
func (k *Keeper) expireKeys(c *carobrock.ExpireWindow) {
	for key, row := range k.state.Keys {
		if row.ClaimedUnixSec < c.BeforeUnixSec {
			delete(k.state.Keys, key)
		}
	}
}

// HasKeysBefore reports whether any idempotency key was claimed before the
// given wall-clock time, in Unix seconds.
func (k *Keeper) HasKeysBefore(unixSec int64) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	for _, row := range k.state.Keys {
		if row.ClaimedUnixSec < unixSec {
			return true
		}
	}
	return false
}
