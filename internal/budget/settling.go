package budget

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// place is where a turn's prompt was read, and where the turn ran.
type place struct {
	request ReserveRequest
	engine  string
	read    int
	ran     string
	// Of what the turn goes on from, and of the turn itself.
	keptAt   string
	self     string // address of this daemon
	recorded string
}

// ReadAt implements Settler.
func (p *place) ReadAt() (engine string, parts int) { return p.engine, p.read }

// KeptAt implements Settler.
func (p *place) KeptAt() string { return p.keptAt }

// Recorded implements Settler.
func (p *place) Recorded(turn string) { p.recorded = turn }

// RanAt implements Settler.
func (p *place) RanAt(engine string) { p.ran = engine }

func (p *place) outcome() Ran {
	ran := Ran{Program: p.request.Program, Engine: p.ran}
	if count := len(p.request.Parts); count > 0 {
		ran.Part = p.request.Parts[count-1]
	}
	if p.recorded != "" {
		ran.Turn, ran.Daemon = p.recorded, p.self
	}
	return ran
}

// local is a reservation at this daemon itself.
type local struct {
	*Reservation
	place
	trails *Trails
}

// Settle implements Settler.
func (l *local) Settle(generated int64) {
	l.trails.settled(l.outcome())
	l.Reservation.Settle(generated)
}

// remote is a reservation at another daemon.
type remote struct {
	place
	shared   *Shared
	home     members.Member
	attained int64
}

// Attained implements Settler.
func (r *remote) Attained() int64 { return r.attained }

// Settle implements Settler; it does not wait for the holder.
func (r *remote) Settle(generated int64) {
	request := SettleRequest{Reservation: r.request.Reservation, Generated: generated, Ran: r.outcome()}
	go func() {
		var err error
		for try := range settleTries {
			if err = r.settleOnce(request); err == nil || errors.Is(err, rpc.ErrShutdown) {
				return
			}
			time.Sleep(time.Duration(try+1) * settlePause)
		}
		r.shared.log.Warn("budget: settlement lost; the tokens stay reserved.", zap.String("holder", string(r.home.Process.Machine)),
			zap.String("reservation", request.Reservation), zap.Int64("generated", generated), zap.Int("tries", settleTries), zap.String("cause", err.Error()))
	}()
}

func (r *remote) settleOnce(request SettleRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	return r.shared.caller.Call(ctx, r.home.Process.Address, peer.Control, methodSettle, request, &SettleReply{})
}
