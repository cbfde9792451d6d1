package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
)

// Range of the ports of the tests' processes. It is below the kernel's ephemeral
// range, because an outgoing connection could otherwise take the port of a
// process that is restarting.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// blockSize is the number of ports that a test binary reserves.
	blockSize = 1000
)

var errNoPorts = errors.New("no loopback port is free")

// testPorts is the allocator of this test binary.
var testPorts portAllocator

// freeAddresses returns n loopback addresses whose ports were free when checked.
// No other test binary uses them.
func freeAddresses(n int) ([]string, error) { return testPorts.freeAddresses(n) }

// portAllocator chooses ports from a block that no other allocator on the machine
// uses, so that a process can be restarted on its port.
type portAllocator struct {
	mu sync.Mutex
	// lock is bound to the first port of the block and is never closed while the
	// allocator is in use.
	lock  net.Listener
	block int // first port of the block
	last  int // offset of the last port that was tried
}

// reserveBlock reserves a block. The caller holds a.mu.
func (a *portAllocator) reserveBlock() error {
	for block := firstPort; block+blockSize <= lastPort; block += blockSize {
		l, err := listenLoopback(block)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return err
		}
		a.lock, a.block = l, block
		return nil
	}
	return errNoPorts
}

// freeAddresses returns n addresses. A port is returned again only after all others of
// the block.
func (a *portAllocator) freeAddresses(n int) ([]string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lock == nil {
		if err := a.reserveBlock(); err != nil {
			return nil, err
		}
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries == blockSize-1 {
			return nil, errNoPorts
		}
		a.last = a.last%(blockSize-1) + 1
		l, err := listenLoopback(a.block + a.last)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func listenLoopback(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
}

// Guards against two test binaries that choose the same ports.
func TestTwoTestBinariesChoseTheSamePorts(t *testing.T) {
	const addressCount = 40
	holders := map[string]int{}
	var allocators [3]portAllocator
	for i := range allocators {
		a := &allocators[i]
		addresses, err := a.freeAddresses(addressCount)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = a.lock.Close() }()
		for _, address := range addresses {
			if j, taken := holders[address]; taken {
				t.Errorf("allocators %d and %d both chose %s", j, i, address)
			}
			holders[address] = i
		}
	}
}

// Guards against a port that is returned although a process still uses it.
func TestPortInUseWasChosen(t *testing.T) {
	a := &portAllocator{}
	addresses, err := a.freeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.lock.Close() }()
	l, err := net.Listen("tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for range 2 * blockSize {
		got, err := a.freeAddresses(1)
		if err != nil {
			t.Fatal(err)
		}
		if got[0] == addresses[0] || got[0] == a.lock.Addr().String() {
			t.Fatalf("%s is in use and was chosen", got[0])
		}
	}
	if _, err := a.freeAddresses(blockSize); !errors.Is(err, errNoPorts) {
		t.Errorf("%d addresses: %v, want %v", blockSize, err, errNoPorts)
	}
}
