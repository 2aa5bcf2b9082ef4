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

// turnPlacement is where a turn's prompt has been read before, and where the turn ran.
type turnPlacement struct {
	request   ReserveRequest
	engine    string
	partsRead int
	ranAt     string
	// recorderAddress is the address of the daemon that recorded the previous turn.
	// recordedTurn is the identifier of this turn if this daemon recorded it.
	recorderAddress string
	selfAddress     string // this daemon's address
	recordedTurn    string
}

// CachedPrefix implements Settler.
func (p *turnPlacement) CachedPrefix() (engine string, parts int) { return p.engine, p.partsRead }

// RecorderAddress implements Settler.
func (p *turnPlacement) RecorderAddress() string { return p.recorderAddress }

// SetRecordedTurn implements Settler.
func (p *turnPlacement) SetRecordedTurn(turn string) { p.recordedTurn = turn }

// SetEngine implements Settler.
func (p *turnPlacement) SetEngine(engine string) { p.ranAt = engine }

// location returns the turn's location, which is reported to the holder.
func (p *turnPlacement) location() TurnLocation {
	location := TurnLocation{Program: p.request.Program, Engine: p.ranAt}
	if count := len(p.request.Parts); count > 0 {
		location.Part = p.request.Parts[count-1]
	}
	if p.recordedTurn != "" {
		location.Turn, location.Daemon = p.recordedTurn, p.selfAddress
	}
	return location
}

// localSettler settles a reservation of this daemon's own ledger.
type localSettler struct {
	*Reservation
	turnPlacement
	turnLocations *TurnLocations
}

// Settle implements Settler.
func (l *localSettler) Settle(generated int64) {
	l.turnLocations.recordTurn(l.location())
	l.Reservation.Settle(generated)
}

// remoteSettler settles a reservation at another daemon.
type remoteSettler struct {
	turnPlacement
	client    *Client
	holder    members.Member
	generated int64
}

// GeneratedTokens implements Settler.
func (r *remoteSettler) GeneratedTokens() int64 { return r.generated }

// Settle implements Settler. It does not wait for the holder: it sends the settlement in the
// background, and logs a warning if all attempts fail. If the connection to the holder is shut
// down, it stops without a warning.
func (r *remoteSettler) Settle(generated int64) {
	request := SettleRequest{Reservation: r.request.Reservation, Generated: generated, Ran: r.location()}
	go func() {
		var err error
		for try := range maxSettleAttempts {
			if err = r.settleOnce(request); err == nil || errors.Is(err, rpc.ErrShutdown) {
				return
			}
			time.Sleep(time.Duration(try+1) * settleBackoff)
		}
		r.client.log.Warn("budget: settlement lost; the tokens stay reserved.", zap.String("holder", string(r.holder.Process.Machine)),
			zap.String("reservation", request.Reservation), zap.Int64("generated", generated), zap.Int("tries", maxSettleAttempts), zap.String("cause", err.Error()))
	}()
}

func (r *remoteSettler) settleOnce(request SettleRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return r.client.peerClient.Call(ctx, r.holder.Process.Address, peer.ClassControl, methodSettle, request, &SettleReply{})
}
