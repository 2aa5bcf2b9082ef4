package network

import (
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

func TestSockDiagAndProcTableReturnSameInode(t *testing.T) {
	RegisterTestingT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = dialled.Close() }()
	local, remote := netip.MustParseAddrPort(dialled.LocalAddr().String()), netip.MustParseAddrPort(dialled.RemoteAddr().String())
	inode, err := sockDiagInode(local, remote)
	Expect(err).NotTo(HaveOccurred())
	Expect(inode).To(Equal(procInode(procAddress(dialled.LocalAddr()), procAddress(dialled.RemoteAddr()))))
	_, err = sockDiagInode(remote, local)
	Expect(err).NotTo(HaveOccurred(), "the accepted socket")
	inode, err = sockDiagInode(local, netip.AddrPortFrom(remote.Addr(), local.Port()))
	Expect(err).NotTo(HaveOccurred())
	Expect(inode).To(BeEmpty(), "no such socket")
}

func BenchmarkSourceInode(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = dialled.Close() }()
	local, remote := netip.MustParseAddrPort(dialled.LocalAddr().String()), netip.MustParseAddrPort(dialled.RemoteAddr().String())
	b.Run("kernel", func(b *testing.B) {
		for b.Loop() {
			_, _ = sockDiagInode(local, remote)
		}
	})
	b.Run("table", func(b *testing.B) {
		for b.Loop() {
			_ = procInode(procAddress(dialled.LocalAddr()), procAddress(dialled.RemoteAddr()))
		}
	})
}
