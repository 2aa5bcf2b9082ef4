package writebehind

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/memory"
)

func TestWritebehind(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "writebehind")
}

// Sizes of the kernel's socket buffers in bytes. They are small, so that a test fills them
// quickly, but not smaller: TCP would then reopen the receive window only after a timer.
const (
	writeBufferBytes = 16 << 10 // at the writing end
	readBufferBytes  = 64 << 10 // at the reading end
)

// connectedPair returns both ends of a TCP connection with small socket buffers.
func connectedPair() (near, far *net.TCPConn, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	accepted, err := listener.Accept()
	if err != nil {
		return nil, nil, err
	}
	near, far = accepted.(*net.TCPConn), dialled.(*net.TCPConn)
	return near, far, errors.Join(near.SetWriteBuffer(writeBufferBytes), far.SetReadBuffer(readBufferBytes))
}

// forever is a timeout that no test reaches.
const forever = time.Hour

// newTestConn returns a Conn whose account has the given limit, the TCP connection of its peer,
// and its group. A cleanup function closes both connections after the test and checks that all
// memory was returned to the account.
func newTestConn(limit int64, stallTimeout, maxWriteWait time.Duration) (*Conn, *net.TCPConn, *Group) {
	GinkgoHelper()
	near, far, err := connectedPair()
	Expect(err).NotTo(HaveOccurred())
	group := NewGroup(Options{Account: memory.NewAccount(limit), StallTimeout: stallTimeout, MaxWriteWait: maxWriteWait})
	conn := group.Wrap(near).(*Conn)
	DeferCleanup(func() {
		_ = far.Close()
		_ = near.Close()
		Eventually(group.drainingConns.Load).Should(BeZero())
		Expect(group.options.Account.Held()).To(BeZero())
	})
	return conn, far, group
}

// randomContent returns pseudo-random bytes, so that a wrong order is detected.
func randomContent(size int) []byte {
	random := rand.NewChaCha8([32]byte{1})
	content := make([]byte, size)
	_, _ = random.Read(content)
	return content
}

// TestBytesArriveInOrder writes random content in pieces of random sizes to a peer that reads
// it. All bytes and the end of the stream arrive, in order. The buffered bytes never exceed the
// limit of the account.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far, err := connectedPair()
		if err != nil {
			t.Fatal(err)
		}
		limit := rapid.Int64Range(1, 40).Draw(t, "limit") * blockBytes
		account := memory.NewAccount(limit)
		group := NewGroup(Options{Account: account, StallTimeout: forever, MaxWriteWait: forever})
		conn := group.Wrap(near).(*Conn)
		sent := randomContent(rapid.IntRange(0, 1<<20).Draw(t, "size"))
		pieces := rapid.SliceOfN(rapid.IntRange(1, 1<<16), 1, 20).Draw(t, "pieces")
		failed := make(chan error, 1)
		go func() { failed <- writeInPieces(conn, sent, pieces) }()
		received := make([]byte, 0, len(sent))
		buffer := make([]byte, rapid.IntRange(1<<10, 1<<16).Draw(t, "buffer"))
		for {
			count, err := far.Read(buffer)
			received = append(received, buffer[:count]...)
			if held := account.Held(); held > limit {
				t.Fatalf("held %d of %d", held, limit)
			}
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if err := <-failed; err != nil || !bytes.Equal(received, sent) {
			t.Fatalf("%d of %d bytes arrived, or their content differs: %v", len(received), len(sent), err)
		}
		group.Flush(context.Background())
		if account.Held() != 0 {
			t.Fatalf("held at the end: %d", account.Held())
		}
		_ = far.Close()
	})
}

// writeInPieces writes the content in pieces whose sizes repeat, and closes the connection.
func writeInPieces(conn *Conn, sent []byte, pieces []int) error {
	for number := 0; len(sent) > 0; number++ {
		size := min(pieces[number%len(pieces)], len(sent))
		if _, err := conn.Write(sent[:size]); err != nil {
			return err
		}
		sent = sent[size:]
	}
	return conn.Close()
}

var _ = Describe("a connection whose peer reads slowly", func() {
	const limit = 1 << 20
	// fill writes pieces until a write fails, and returns the error.
	fill := func(conn *Conn) error {
		piece := randomContent(8 << 10)
		for {
			if _, err := conn.Write(piece); err != nil {
				return err
			}
		}
	}

	It("does not delay writes while less than almost half of the limit is buffered for one owner", func() {
		conn, _, group := newTestConn(limit, forever, forever)
		conn.SetOwner("one")
		written := 0
		for group.options.Account.Held() < limit/2-2*blockBytes {
			count, err := conn.Write(randomContent(blockBytes))
			Expect(err).NotTo(HaveOccurred())
			written += count
		}
		Expect(written).To(BeNumerically(">=", limit/2-2*blockBytes))
		Expect(group.pausedWrites.Load()).To(BeZero())
	})

	It("is reset with ErrSlowPeer if its peer reads nothing, and returns its memory", func() {
		const soon = 50 * time.Millisecond
		conn, far, group := newTestConn(limit, soon, forever)
		Expect(fill(conn)).To(MatchError(ErrSlowPeer))
		Expect(conn.IsSlow()).To(BeTrue())
		Expect(group.slowConns.Load()).To(BeEquivalentTo(1))
		Eventually(group.options.Account.Held).Should(BeZero())
		_, err := io.Copy(io.Discard, far)
		Expect(err).To(HaveOccurred(), "the peer must see that the data is incomplete")
	})

	It("delays a write by at most Options.MaxWriteWait if there is no buffer space", func() {
		const soon = 50 * time.Millisecond
		conn, _, group := newTestConn(8*blockBytes, forever, soon)
		Expect(fill(conn)).To(MatchError(ErrSlowPeer))
		Expect(group.pausedWrites.Load()).To(BeNumerically(">=", 1))
	})

	It("is written without buffering if there is no space for a block", func() {
		conn, far, group := newTestConn(blockBytes, forever, forever)
		sent := randomContent(1 << 20)
		go func() { _, _ = conn.Write(sent) }()
		received := make([]byte, len(sent))
		_, err := io.ReadFull(far, received)
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Equal(sent))
		Expect(group.options.Account.Held()).To(BeZero())
	})

	// Guards against memory of the kernel that grows with each peer that does not read, and that nobody counts.
	It("has almost all that its peer has not read in the account, and not in the kernel", func() {
		const written = 4 << 20
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		peer, err := net.Dial("tcp4", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		accepted, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		account := memory.NewAccount(4 * written)
		conn := NewGroup(Options{Account: account, StallTimeout: forever, MaxWriteWait: forever}).Wrap(accepted)
		DeferCleanup(func() {
			_ = peer.Close() // so that the buffered bytes are given up
			_ = conn.Close()
		})
		_, err = conn.Write(make([]byte, written))
		Expect(err).NotTo(HaveOccurred())
		Consistently(account.Held).Should(BeNumerically(">=", written-written/4))
	})

	It("is closed, also for writing only, after all buffered bytes are written", func() {
		conn, far, group := newTestConn(limit, forever, forever)
		sent := randomContent(limit / 4)
		_, err := conn.Write(sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(group.drainingConns.Load()).To(BeEquivalentTo(1))
		Expect(conn.CloseWrite()).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		received, err := io.ReadAll(far)
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Equal(sent))
	})

	It("cannot be read after Close", func() {
		conn, _, _ := newTestConn(limit, forever, forever)
		_, err := conn.Write(randomContent(limit / 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a connection whose peer keeps up", func() {
	It("is written without buffering and without allocations", func() {
		conn, far, group := newTestConn(1<<20, forever, forever)
		chunk, buffer := randomContent(1000), make([]byte, 1000)
		allocations := testing.AllocsPerRun(200, func() {
			_, _ = conn.Write(chunk)
			_, _ = io.ReadFull(far, buffer)
		})
		Expect(allocations).To(BeZero())
		Expect(group.options.Account.Held()).To(BeZero())
	})
})

var _ = It("Wrap returns the connection itself if there is no memory limit", func() {
	near, far, err := connectedPair()
	Expect(err).NotTo(HaveOccurred())
	defer near.Close()
	defer far.Close()
	var none *Group
	Expect(none.Wrap(near)).To(BeIdenticalTo(near))
	Expect(NewGroup(Options{Account: memory.NewAccount(0)}).Wrap(near)).To(BeIdenticalTo(near))
})

// BenchmarkWrite measures a write to a peer that keeps up, with and without the Conn wrapper.
func BenchmarkWrite(b *testing.B) {
	for name, wrapped := range map[string]bool{"plain": false, "kept": true} {
		b.Run(name, func(b *testing.B) {
			near, far, err := connectedPair()
			if err != nil {
				b.Fatal(err)
			}
			var conn net.Conn = near
			if wrapped {
				conn = NewGroup(Options{Account: memory.NewAccount(1 << 20), StallTimeout: forever, MaxWriteWait: forever}).Wrap(near)
			}
			chunk, buffer := randomContent(1000), make([]byte, 1000)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(chunk); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(far, buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
