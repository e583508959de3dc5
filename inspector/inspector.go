package inspector

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as the kernel numbers them: neither end has closed it, and nothing is left of it.
const (
	stateEstablished = 1
	stateClosed      = 7
)

// maxTick is the longest period of the kernel's timer, in whose units it records when data arrived.
const maxTick = 10 * time.Millisecond

// Inspection is what the kernel knows about a connection.
type Inspection struct {
	// SinceData is the least time that can have passed since data last arrived from the peer or, if none has arrived, since the
	// connection was established. The true time is longer by two periods of the kernel's timer (1 to 10 ms each) at most.
	SinceData time.Duration
	// PeerClosed is set if the peer has closed the connection, or its sending side, or if the connection was reset.
	PeerClosed bool
	// IsReset is set if the connection was reset, by the peer or because the peer could not be reached.
	IsReset bool
}

// Sending is what the kernel knows about the bytes that were sent on a connection.
type Sending struct {
	// IsUnacknowledged is set if bytes are on their way that the peer has not acknowledged. Bytes that wait because the peer reads too
	// slowly do not count.
	IsUnacknowledged bool
	// SinceAck is the time since the peer last acknowledged anything. It is zero if the kernel does not tell.
	SinceAck time.Duration
}

// InspectSending returns what the kernel knows about the bytes sent on a connection. It returns false if Inspect would.
func InspectSending(c net.Conn) (Sending, bool) {
	info, ok := tcpInfo(c)
	if !ok {
		return Sending{}, false
	}
	return Sending{IsUnacknowledged: info.Unacked > 0, SinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond}, true
}

// Inspect returns what the kernel knows about a connection. It returns false for connections that are not TCP connections or have
// been closed by this process, and if the kernel does not tell.
func Inspect(c net.Conn) (Inspection, bool) {
	info, ok := tcpInfo(c)
	if !ok {
		return Inspection{}, false
	}
	return Inspection{
		SinceData:  max(0, time.Duration(info.Last_data_recv)*time.Millisecond-maxTick),
		PeerClosed: info.State != stateEstablished,
		IsReset:    info.State == stateClosed,
	}, true
}

// tcpInfo returns the kernel's record of a TCP connection, or false if there is none.
func tcpInfo(c net.Conn) (*unix.TCPInfo, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || infoErr != nil {
		return nil, false
	}
	return info, true
}
