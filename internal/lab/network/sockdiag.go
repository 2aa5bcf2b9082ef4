package network

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/rotisserie/eris"
)

// Constants of the sock_diag(7) netlink protocol. Offsets count from the end of
// the message header.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20

	messageHeaderBytes  = 16
	requestBytes        = 56   // without the message header
	requestSockIDOffset = 8    // of the ports and addresses in the request
	replySockIDOffset   = 4    // of the ports and addresses in the reply
	replyInodeOffset    = 68   // of the inode in the reply
	minReplyBytes       = 72   // without the message header
	minErrorBytes       = 4    // without the message header
	anyCookieByte       = 0xff // each byte of a cookie that matches every socket
)

// sockDiagInode asks the kernel for the inode of the TCP socket with these IPv4
// addresses, and returns "" if there is none. Unlike a search of /proc/net/tcp,
// its cost does not grow with the number of sockets on the machine.
func sockDiagInode(local, remote netip.AddrPort) (string, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return "", eris.Wrap(err, "open a netlink socket")
	}
	defer func() { _ = syscall.Close(socket) }()
	request := sockDiagRequest(local, remote)
	if err := syscall.Sendto(socket, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", eris.Wrap(err, "send the sock_diag request")
	}
	reply := make([]byte, syscall.Getpagesize())
	count, _, err := syscall.Recvfrom(socket, reply, 0)
	if err != nil {
		return "", eris.Wrap(err, "receive the sock_diag reply")
	}
	return parseInode(reply[:count], remote)
}

// parseInode returns the inode in a sock_diag reply, or "" if there is no socket.
// If the socket is gone, the kernel may return the listener at its local address,
// which is recognized by its remote port.
func parseInode(reply []byte, remote netip.AddrPort) (string, error) {
	if len(reply) < messageHeaderBytes+minErrorBytes {
		return "", eris.Errorf("sock_diag reply of %d bytes is too short", len(reply))
	}
	body := reply[messageHeaderBytes:]
	messageType := binary.NativeEndian.Uint16(reply[4:])
	if messageType == syscall.NLMSG_ERROR {
		errno := syscall.Errno(-int32(binary.NativeEndian.Uint32(body))) //nolint:gosec // the kernel's negated errno
		if errno == syscall.ENOENT {
			return "", nil
		}
		return "", eris.Wrap(errno, "sock_diag request failed")
	}
	if messageType != sockDiagByFamily || len(body) < minReplyBytes {
		return "", eris.Errorf("malformed or unexpected sock_diag reply of type %d", messageType)
	}
	if binary.BigEndian.Uint16(body[replySockIDOffset+2:]) != remote.Port() {
		return "", nil
	}
	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(body[replyInodeOffset:])), 10), nil
}

// sockDiagRequest returns a netlink message that asks for the TCP socket with
// these IPv4 addresses.
func sockDiagRequest(local, remote netip.AddrPort) []byte {
	request := make([]byte, messageHeaderBytes+requestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	body := request[messageHeaderBytes:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], ^uint32(0)) // sockets in any state
	sockID := body[requestSockIDOffset:]
	binary.BigEndian.PutUint16(sockID, local.Port())
	binary.BigEndian.PutUint16(sockID[2:], remote.Port())
	source, destination := local.Addr().Unmap().As4(), remote.Addr().Unmap().As4()
	copy(sockID[4:], source[:])
	copy(sockID[20:], destination[:])
	for index := 40; index < 48; index++ {
		sockID[index] = anyCookieByte
	}
	return request
}
