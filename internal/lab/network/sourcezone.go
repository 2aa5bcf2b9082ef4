package network

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
)

// Indices of columns in /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// sourceZone returns the zone of the registered process that opened the accepted
// connection, or ZoneClients if there is none.
func (n *Network) sourceZone(accepted net.Conn) string {
	inode := sourceInode(accepted)
	if inode == "" {
		return ZoneClients
	}
	for process, zone := range n.zonesByProcess() {
		if hasSocket(process, inode) {
			return zone
		}
	}
	return ZoneClients
}

// sourceInode returns the inode of the socket at the other end of an accepted
// connection, or "" if it is not found. It reads /proc/net/tcp only if the
// sock_diag query fails.
func sourceInode(accepted net.Conn) string {
	local, localErr := netip.ParseAddrPort(accepted.RemoteAddr().String())
	remote, remoteErr := netip.ParseAddrPort(accepted.LocalAddr().String())
	if localErr == nil && remoteErr == nil {
		if inode, err := sockDiagInode(local, remote); err == nil {
			return inode
		}
	}
	return procInode(procAddress(accepted.RemoteAddr()), procAddress(accepted.LocalAddr()))
}

// procAddress formats an address as in /proc/net/tcp: the IPv4 address as a
// little-endian number, a colon and the port, all in hexadecimal digits. It
// returns "" if the address is not valid.
func procAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return ""
	}
	bytes := parsed.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1], bytes[0], parsed.Port())
}

// procInode returns the inode of the socket with these addresses, or "" if
// /proc/net/tcp does not list it.
func procInode(local, remote string) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) > columnInode && columns[columnLocal] == local && columns[columnRemote] == remote {
			return columns[columnInode]
		}
	}
	return ""
}

// hasSocket reports whether the process has a file descriptor for the socket with
// this inode.
func hasSocket(process int, inode string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", process)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	wanted := "socket:[" + inode + "]"
	for _, entry := range entries {
		if target, err := os.Readlink(directory + "/" + entry.Name()); err == nil && target == wanted {
			return true
		}
	}
	return false
}
