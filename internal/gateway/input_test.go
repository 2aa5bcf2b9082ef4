package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// watched passes a body on in pieces, and notes the most that was held at any of them.
type watched struct {
	io.Reader
	account *memory.Account
	most    int64
	piece   int
}

func (w *watched) Read(buffer []byte) (int, error) {
	w.most = max(w.most, w.account.Held())
	return w.Reader.Read(buffer[:min(w.piece, len(buffer))])
}

var _ = Describe("a body", func() {
	DescribeTable("is read whole, and counted before it is allocated",
		func(size int, length int64, piece int) {
			content := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			account := memory.NewAccount(1 << 30)
			holding := account.Open("one")
			body := &watched{Reader: bytes.NewReader(content), account: account, piece: piece}
			read, err := readCounted(body, length, holding)
			Expect(err).NotTo(HaveOccurred())
			Expect(read).To(Equal(content))
			Expect(account.Held()).To(BeEquivalentTo(cap(read)))
			Expect(body.most).To(BeNumerically("<=", max(firstInputBuffer, 2*size+1)))
			holding.Close()
			Expect(account.Held()).To(BeZero())
		},
		Entry("a short one", 10, int64(10), 1000),
		Entry("empty", 0, int64(-1), 1000),
		Entry("as long as the first buffer", firstInputBuffer, int64(firstInputBuffer), 1000),
		Entry("a long one", 1_000_000, int64(1_000_000), 1000),
		Entry("of unknown length", 1_000_000, int64(-1), 1<<20),
		Entry("that comes byte by byte", 40_000, int64(40_000), 1),
	)

	It("that comes slowly holds little of what it announced", func() {
		account := memory.NewAccount(1 << 30)
		const announced, sent = 4 << 20, 1000
		stopped := errors.New("stopped")
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", sent)), iotest.ErrReader(stopped))
		_, err := readCounted(body, announced, account.Open("one"))
		Expect(err).To(MatchError(stopped))
		Expect(account.Held()).To(BeEquivalentTo(firstInputBuffer))
	})

	It("of unknown length is given up where there is no room for more of it", func() {
		account := memory.NewAccount(1 << 20)
		_, err := readCounted(iotest.DataErrReader(strings.NewReader(strings.Repeat("x", 1<<20))), -1, account.Open("one"))
		var refusal *Refusal
		Expect(errors.As(unreadInput(err), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonMemory))
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
	})

	It("that announces more than there is room for is refused unread", func() {
		account := memory.NewAccount(1 << 20)
		request := httptest.NewRequest("POST", "/", iotest.ErrReader(errors.New("the body was read")))
		request.ContentLength = 1 << 20
		current := &execution{
			request: request, holding: account.Open("one"), writer: httptest.NewRecorder(),
			table: routetable.New(1, routetable.Limits{BodyBytes: 4 << 20}, nil, nil),
		}
		var refusal *Refusal
		Expect(errors.As(current.readInput(), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonMemory))
		Expect(refusal.After).To(BeNumerically(">", 0))
	})

	It("that does not come in time is refused as not run", func() {
		var refusal *Refusal
		Expect(errors.As(unreadInput(eris.Wrap(os.ErrDeadlineExceeded, "read")), &refusal)).To(BeTrue())
		Expect(refusal.Status).To(Equal(http.StatusRequestTimeout))
		Expect(promisesNotRun(refusal.Status)).To(BeTrue())
	})
})

var _ = Describe("a turn that is kept", func() {
	const limit = 1 << 20
	// begun is a turn that adds so much input to a history of so many bytes.
	begun := func(ctx context.Context, history, input int) (*execution, *memory.Account) {
		GinkgoHelper()
		store := state.NewClient(state.ClientOptions{Store: memorystore.New(), Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {})})
		records := turn.NewRecords(turn.Options{
			Store: store, RowBytes: 1 << 16, CacheEntries: 8, CacheFor: time.Hour, CacheBytes: limit, PieceBytes: limit, Now: time.Now,
		})
		Expect(records.Save(ctx, "before", turn.Addition{Input: make([]byte, history)}, time.Minute)).To(Succeed())
		before, err := records.Load(ctx, "before", "")
		Expect(err).NotTo(HaveOccurred())
		account := memory.NewAccount(limit)
		return &execution{
			holding: account.Open("one"), route: &routetable.Route{Recorded: true, Streaming: true},
			history: before, input: make([]byte, input), events: eventReader{collect: true},
			writer: httptest.NewRecorder(), arrived: time.Now(),
		}, account
	}

	It("has room for its history and its saving before it runs, or does not run", func(ctx SpecContext) {
		current, account := begun(ctx, 20_000, 20_000)
		Expect(current.holdTurn()).To(Succeed())
		Expect(account.Held()).To(BeNumerically(">=", (1+copiesToSave)*20_000))
		current, _ = begun(ctx, 0, limit/4)
		var refusal *Refusal
		Expect(errors.As(current.holdTurn(), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonMemory))
	})

	It("is cut with a reason before its output exceeds the bound", func(ctx SpecContext) {
		current, account := begun(ctx, 0, 0)
		Expect(current.holdTurn()).To(Succeed())
		chunk := []byte("data: " + strings.Repeat("x", 8000) + "\n\n")
		var err error
		for err == nil {
			err = current.pass(chunk)
			Expect(account.Held()).To(BeNumerically(">=", (1+copiesToSave)*current.events.size()))
		}
		Expect(reasonOf(err)).To(Equal(ReasonMemory))
		Expect(account.Held()).To(BeNumerically("<=", limit/2))
		current.letGo()
		Expect(account.Held()).To(BeZero())
	})
})
