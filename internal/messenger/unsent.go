package messenger

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes is what the kernel takes of a connection beyond what may be sent at once:
// 65 ms on the slowest link, of 2 Mbit/s. New frames wait behind it.
const maxUnsentBytes = 16 << 10

// limitUnsent applies maxUnsentBytes to a TCP connection. Other connections, and kernels
// without the option, keep their own limit.
func limitUnsent(conn net.Conn) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
