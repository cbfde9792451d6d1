package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"carobrock": func() { os.Exit(run(os.Args[1:])) }})
}

// scriptAddressCount is the number of unused loopback addresses that each script
// gets in the variables $A1 to $A16.
const scriptAddressCount = 16

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			addresses, err := freeAddresses(scriptAddressCount)
			for i, a := range addresses {
				env.Setenv(fmt.Sprintf("A%d", i+1), a)
			}
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"http": scriptHTTP, "eventually": scriptEventually, "occupy": scriptOccupy,
		},
	})
}

const requestTimeout = 10 * time.Second

// scriptHTTP implements the script command
//
//	http METHOD URL [BODY [HEADER:VALUE...]]
//
// It sends a request and writes the status, the headers and the body of the
// response to the file "answer". Negated, it requires the request to fail.
func scriptHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [BODY [HEADER:VALUE...]]")
	}
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	for _, header := range args[min(3, len(args)):] {
		name, value, _ := strings.Cut(header, ":")
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: requestTimeout}
	res, err := client.Do(req)
	if neg {
		if err == nil {
			ts.Fatalf("request succeeded unexpectedly")
		}
		return
	}
	ts.Check(err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	ts.Check(err)
	text := &strings.Builder{}
	fmt.Fprintln(text, res.Status)
	ts.Check(res.Header.Write(text))
	fmt.Fprintf(text, "\n%s\n", data)
	ts.Check(os.WriteFile(ts.MkAbs("answer"), []byte(text.String()), 0o600))
}

const (
	eventuallyTimeout  = 30 * time.Second
	eventuallyInterval = 100 * time.Millisecond
)

// scriptEventually implements the script command
//
//	eventually TEXT PROGRAM ARG...
//
// It runs the program repeatedly until it succeeds and its standard output
// contains the text.
func scriptEventually(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for output %q; last run: %v\n%s%s", args[0], err, ts.ReadFile("stdout"), ts.ReadFile("stderr"))
		}
		time.Sleep(eventuallyInterval)
	}
}

// scriptOccupy implements the script command
//
//	occupy IP:PORT
//
// It listens on the address until the script ends.
func scriptOccupy(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", args[0])
	ts.Check(err)
	ts.Defer(func() { _ = l.Close() })
}
