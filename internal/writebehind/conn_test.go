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

// Buffers of the kernel that a test fills soon; a window that is smaller still opens by timers.
const (
	sentBuffer     = 16 << 10
	receivedBuffer = 64 << 10
)

// connected gives both ends of a connection with small buffers.
func connected() (near, far *net.TCPConn, err error) {
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
	return near, far, errors.Join(near.SetWriteBuffer(sentBuffer), far.SetReadBuffer(receivedBuffer))
}

// forever stands for a bound that a test does not reach.
const forever = time.Hour

func kept(limit int64, silence, pause time.Duration) (*Conn, *net.TCPConn, *Group) {
	GinkgoHelper()
	near, far, err := connected()
	Expect(err).NotTo(HaveOccurred())
	group := NewGroup(Options{Account: memory.NewAccount(limit), Silence: silence, Pause: pause})
	made := group.Wrap(near).(*Conn)
	DeferCleanup(func() {
		_ = far.Close()
		_ = near.Close()
		Eventually(group.behind.Load).Should(BeZero())
		Expect(group.options.Account.Held()).To(BeZero())
	})
	return made, far, group
}

// content is no repetition of itself, so that an order that is lost shows.
func content(size int) []byte {
	random := rand.NewChaCha8([32]byte{1})
	made := make([]byte, size)
	_, _ = random.Read(made)
	return made
}

// The property: whatever is written in whatever pieces reaches a reader that reads now and then, in
// order and whole, the end as well; what is kept never exceeds the bound.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far, err := connected()
		if err != nil {
			t.Fatal(err)
		}
		limit := rapid.Int64Range(1, 40).Draw(t, "limit") * blockBytes
		account := memory.NewAccount(limit)
		group := NewGroup(Options{Account: account, Silence: forever, Pause: forever})
		conn := group.Wrap(near).(*Conn)
		sent := content(rapid.IntRange(0, 1<<20).Draw(t, "size"))
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
			t.Fatalf("%d of %d bytes arrived, or others: %v", len(received), len(sent), err)
		}
		group.Flush(context.Background())
		if account.Held() != 0 {
			t.Fatalf("held at the end: %d", account.Held())
		}
		_ = far.Close()
	})
}

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

var _ = Describe("a connection whose reader is slow", func() {
	const limit = 1 << 20
	// fill writes pieces until one fails.
	fill := func(conn *Conn) error {
		piece := content(8 << 10)
		for {
			if _, err := conn.Write(piece); err != nil {
				return err
			}
		}
	}

	It("takes writes at once while there is room, and keeps no more than half of it for one", func() {
		conn, _, group := kept(limit, forever, forever)
		conn.Own("one")
		written := 0
		for group.options.Account.Held() < limit/2-2*blockBytes {
			count, err := conn.Write(content(blockBytes))
			Expect(err).NotTo(HaveOccurred())
			written += count
		}
		Expect(written).To(BeNumerically(">=", limit/2-2*blockBytes))
		Expect(group.paused.Load()).To(BeZero())
	})

	It("cuts a reader that takes nothing, with its reason, and gives all back", func() {
		const soon = 50 * time.Millisecond
		conn, far, group := kept(limit, soon, forever)
		Expect(fill(conn)).To(MatchError(ErrSlow))
		Expect(conn.Slow()).To(BeTrue())
		Expect(group.cut.Load()).To(BeEquivalentTo(1))
		Eventually(group.options.Account.Held).Should(BeZero())
		_, err := io.Copy(io.Discard, far)
		Expect(err).To(HaveOccurred(), "what arrives is no whole answer")
	})

	It("holds up its writer for no longer than it may where there is no room", func() {
		const soon = 50 * time.Millisecond
		conn, _, group := kept(8*blockBytes, forever, soon)
		Expect(fill(conn)).To(MatchError(ErrSlow))
		Expect(group.paused.Load()).To(BeNumerically(">=", 1))
	})

	It("is written without being kept where there is no room for a block", func() {
		conn, far, group := kept(blockBytes, forever, forever)
		sent := content(1 << 20)
		go func() { _, _ = conn.Write(sent) }()
		received := make([]byte, len(sent))
		_, err := io.ReadFull(far, received)
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Equal(sent))
		Expect(group.options.Account.Held()).To(BeZero())
	})

	It("is closed once all is written, for writing too", func() {
		conn, far, group := kept(limit, forever, forever)
		sent := content(limit / 4)
		_, err := conn.Write(sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(group.behind.Load()).To(BeEquivalentTo(1))
		Expect(conn.CloseWrite()).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		received, err := io.ReadAll(far)
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Equal(sent))
	})

	It("reads nothing more once it is closed", func() {
		conn, _, _ := kept(limit, forever, forever)
		_, err := conn.Write(content(limit / 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a connection whose reader keeps up", func() {
	It("is written without a copy, an allocation or a goroutine", func() {
		conn, far, group := kept(1<<20, forever, forever)
		chunk, buffer := content(1000), make([]byte, 1000)
		allocations := testing.AllocsPerRun(200, func() {
			_, _ = conn.Write(chunk)
			_, _ = io.ReadFull(far, buffer)
		})
		Expect(allocations).To(BeZero())
		Expect(group.options.Account.Held()).To(BeZero())
	})
})

var _ = It("is not wrapped where nothing is bounded", func() {
	near, far, err := connected()
	Expect(err).NotTo(HaveOccurred())
	defer near.Close()
	defer far.Close()
	var none *Group
	Expect(none.Wrap(near)).To(BeIdenticalTo(near))
	Expect(NewGroup(Options{Account: memory.NewAccount(0)}).Wrap(near)).To(BeIdenticalTo(near))
})

// BenchmarkWrite is a chunk of a relay to a reader that keeps up, with and without what keeps.
func BenchmarkWrite(b *testing.B) {
	for name, wrapped := range map[string]bool{"plain": false, "kept": true} {
		b.Run(name, func(b *testing.B) {
			near, far, err := connected()
			if err != nil {
				b.Fatal(err)
			}
			var conn net.Conn = near
			if wrapped {
				conn = NewGroup(Options{Account: memory.NewAccount(1 << 20), Silence: forever, Pause: forever}).Wrap(near)
			}
			chunk, buffer := content(1000), make([]byte, 1000)
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
