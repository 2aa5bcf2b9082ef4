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

// accountedBody is a body that returns at most maxRead bytes at a time. maxHeld is the largest
// number of bytes that the account held at the start of a read.
type accountedBody struct {
	io.Reader
	account *memory.Account
	maxHeld int64
	maxRead int
}

func (b *accountedBody) Read(buffer []byte) (int, error) {
	b.maxHeld = max(b.maxHeld, b.account.Held())
	return b.Reader.Read(buffer[:min(b.maxRead, len(buffer))])
}

var _ = Describe("a body", func() {
	DescribeTable("is read whole, and its buffer is accounted for before it is allocated",
		func(size int, length int64, maxRead int) {
			content := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			account := memory.NewAccount(1 << 30)
			reservation := account.NewReservation("one")
			body := &accountedBody{Reader: bytes.NewReader(content), account: account, maxRead: maxRead}
			read, err := readWithAccounting(body, length, reservation)
			Expect(err).NotTo(HaveOccurred())
			Expect(read).To(Equal(content))
			Expect(account.Held()).To(BeEquivalentTo(cap(read)))
			Expect(body.maxHeld).To(BeNumerically("<=", max(initialInputBufferBytes, 2*size+1)))
			reservation.Close()
			Expect(account.Held()).To(BeZero())
		},
		Entry("a short body", 10, int64(10), 1000),
		Entry("empty", 0, int64(-1), 1000),
		Entry("as long as the initial buffer", initialInputBufferBytes, int64(initialInputBufferBytes), 1000),
		Entry("a long body", 1_000_000, int64(1_000_000), 1000),
		Entry("of unknown length", 1_000_000, int64(-1), 1<<20),
		Entry("that arrives byte by byte", 40_000, int64(40_000), 1),
	)

	It("that stops early takes only the initial buffer, not its announced length", func() {
		account := memory.NewAccount(1 << 30)
		const announced, sent = 4 << 20, 1000
		stopped := errors.New("stopped")
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", sent)), iotest.ErrReader(stopped))
		_, err := readWithAccounting(body, announced, account.NewReservation("one"))
		Expect(err).To(MatchError(stopped))
		Expect(account.Held()).To(BeEquivalentTo(initialInputBufferBytes))
	})

	It("of unknown length is refused when there is no memory for the rest", func() {
		account := memory.NewAccount(1 << 20)
		_, err := readWithAccounting(iotest.DataErrReader(strings.NewReader(strings.Repeat("x", 1<<20))), -1, account.NewReservation("one"))
		var refusal *Refusal
		Expect(errors.As(inputError(err), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonNoMemory))
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a refusal that blames the store, or keeps callers away longer, for want of memory.
	It("whose conversation finds no memory to be loaded is refused as not run", func() {
		current := &execution{gateway: &Gateway{}, request: httptest.NewRequest("POST", "/", nil)}
		var refusal *Refusal
		Expect(errors.As(current.preparationError(context.Background(), turn.ErrNoMemory), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonNoMemory))
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
	})

	It("that announces more than there is memory for is refused unread", func() {
		account := memory.NewAccount(1 << 20)
		request := httptest.NewRequest("POST", "/", iotest.ErrReader(errors.New("the body was read")))
		request.ContentLength = 1 << 20
		current := &execution{
			request: request, memoryReservation: account.NewReservation("one"), writer: httptest.NewRecorder(),
			table: routetable.New(1, routetable.Limits{BodyBytes: 4 << 20}, nil, nil),
		}
		var refusal *Refusal
		Expect(errors.As(current.readInput(), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonNoMemory))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("that does not arrive in time is refused with a status that means not executed", func() {
		var refusal *Refusal
		Expect(errors.As(inputError(eris.Wrap(os.ErrDeadlineExceeded, "read")), &refusal)).To(BeTrue())
		Expect(refusal.Status).To(Equal(http.StatusRequestTimeout))
		Expect(isNotRunStatus(refusal.Status)).To(BeTrue())
	})
})

var _ = Describe("a recorded turn", func() {
	const limit = 1 << 20
	// newTurn returns a request that continues a conversation, and the account for its memory. The
	// sizes of history and input are in bytes.
	newTurn := func(ctx context.Context, history, input int) (*execution, *memory.Account) {
		GinkgoHelper()
		store := state.NewClient(state.ClientOptions{Store: memorystore.New(), Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {})})
		records := turn.NewRepository(turn.Options{
			Store: store, MaxRowBytes: 1 << 16, MaxCacheEntries: 8, CacheIdleTimeout: time.Hour, MaxCacheBytes: limit, MaxPieceCacheBytes: limit, Now: time.Now,
		})
		Expect(records.Save(ctx, "before", turn.Addition{Input: make([]byte, history)}, time.Minute)).To(Succeed())
		before, err := records.Load(ctx, "before", "")
		Expect(err).NotTo(HaveOccurred())
		account := memory.NewAccount(limit)
		return &execution{
			gateway:           &Gateway{Options: Options{Turns: records}},
			memoryReservation: account.NewReservation("one"), route: &routetable.Route{Recorded: true, Streaming: true},
			history: before, input: make([]byte, input), events: eventReader{collect: true},
			writer: httptest.NewRecorder(), arrived: time.Now(),
		}, account
	}

	It("reserves memory for its history and for saving before it runs, or is not executed", func(ctx SpecContext) {
		current, account := newTurn(ctx, 20_000, 20_000)
		Expect(current.reserveTurnMemory()).To(Succeed())
		Expect(account.Held()).To(BeNumerically(">=", (1+copiesWhileSaving)*20_000))
		current, _ = newTurn(ctx, 0, limit/4)
		var refusal *Refusal
		Expect(errors.As(current.reserveTurnMemory(), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonNoMemory))
	})

	// Guards against turns within the limits of the configuration that a small machine never serves.
	It("reserves no memory for saving a large one, whose copies the repository bounds", func(ctx SpecContext) {
		const large = 800 << 10
		current, account := newTurn(ctx, 0, large)
		Expect(current.gateway.Turns.IsLarge(large)).To(BeTrue())
		Expect(current.reserveTurnMemory()).To(Succeed())
		Expect(account.Held()).To(BeNumerically("<=", (1+copiesWhileSaving)*outputStepBytes))
	})

	It("is cut short with ReasonNoMemory before its output exceeds the memory limit", func(ctx SpecContext) {
		current, account := newTurn(ctx, 0, 0)
		Expect(current.reserveTurnMemory()).To(Succeed())
		chunk := []byte("data: " + strings.Repeat("x", 8000) + "\n\n")
		var err error
		for err == nil {
			err = current.writeChunk(chunk)
			Expect(account.Held()).To(BeNumerically(">=", (1+copiesWhileSaving)*current.events.bufferedBytes()))
		}
		Expect(reasonOf(err)).To(Equal(ReasonNoMemory))
		Expect(account.Held()).To(BeNumerically("<=", limit/2))
		current.releaseMemory()
		Expect(account.Held()).To(BeZero())
	})
})
