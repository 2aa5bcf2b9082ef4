package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// Release gives what this process holds of a program and has not reserved
// back to the store, so that others may be granted it. It returns how much.
func (l *Ledger) Release(ctx context.Context, identifier string) (int64, error) {
	held, known := l.programs.Get(identifier)
	if !known {
		return 0, nil
	}
	if err := held.takeStoreTurn(ctx); err != nil {
		return 0, err
	}
	defer held.endStoreTurn()
	return l.releaseHeld(ctx, held)
}

func (l *Ledger) releaseHeld(ctx context.Context, held *program) (int64, error) {
	released := int64(0)
	for _, to := range l.sorted(held.accounts) {
		if to.pending != nil {
			continue
		}
		// Whether or not the commit is done: never spent here any more.
		amount := held.withdraw(to.known.Granted)
		if amount == 0 {
			continue
		}
		if err := l.giveBack(ctx, to, amount); err != nil {
			return released, err
		}
		released += amount
	}
	return released, nil
}

// giveBack lowers what is granted of an account once: the name in the row
// tells whether a try without an answer was done. A commit that ends without
// a verdict is left at that, and the tokens count as spent.
func (l *Ledger) giveBack(ctx context.Context, to *account, amount int64) error {
	name := rand.Uint64()
	for range maxConflicts {
		next := row{Total: to.share, Granted: to.known.Granted - amount, Grants: recent(to.known.Grants, name)}
		version, err := l.commit(ctx, to, next)
		if err == nil {
			to.known, to.version = next, version
			return nil
		}
		done, err := to.learn(name, err)
		if done || err != nil {
			return err
		}
		if to.known.Granted < amount {
			return eris.Errorf("account grants %d, less than the %d held", to.known.Granted, amount)
		}
	}
	return eris.New("release budget: too many conflicts")
}

// recentlyUsed is how long after its last turn a program is likely to go on.
const recentlyUsed = 5 * time.Second

// ReleaseAll gives back what is held of programs that are likely to go on
// elsewhere; it is for a planned stop.
func (l *Ledger) ReleaseAll(ctx context.Context) (programs int, tokens int64) {
	const together = 8
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(together)
	for _, identifier := range l.programs.Keys() {
		held, known := l.programs.Peek(identifier)
		if !known || !held.worthReleasing() {
			continue
		}
		group.Go(func() error {
			released, err := l.Release(ctx, identifier)
			mutex.Lock()
			defer mutex.Unlock()
			if released > 0 {
				programs++
				tokens += released
			}
			return err
		})
	}
	_ = group.Wait() // what could not be released stays granted
	return programs, tokens
}

func (p *program) worthReleasing() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.available > 0 && time.Since(p.used) < recentlyUsed
}

// ReleaseRequest asks a holder to give back what it holds of a program.
type ReleaseRequest struct{ Program string }

// ReleaseReply tells how much it gave back.
type ReleaseReply struct{ Tokens int64 }

const methodRelease = Service + ".Release"

// Release is called by other daemons.
func (h *Holder) Release(request ReleaseRequest, reply *ReleaseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), holderWait)
	defer cancel()
	tokens, err := h.ledger.Release(ctx, request.Program)
	reply.Tokens = tokens
	return err
}

// Reclaim asks the likely holders of all zones to release what they hold of a
// program, until the context ends.
func (s *Shared) Reclaim(ctx context.Context, program string) {
	var mutex sync.Mutex
	total := int64(0)
	var group errgroup.Group
	for _, holder := range s.list.LikelyHomes(program) {
		group.Go(func() error {
			tokens, err := s.askRelease(ctx, holder, program)
			mutex.Lock()
			defer mutex.Unlock()
			total += tokens
			return err
		})
	}
	_ = group.Wait() // who does not answer keeps what it holds
	s.log.Info("budget: reclaimed from others.", zap.String("program", program), zap.Int64("tokens", total))
}

func (s *Shared) askRelease(ctx context.Context, holder members.Member, program string) (int64, error) {
	var reply ReleaseReply
	err := s.caller.Call(ctx, holder.Process.Address, peer.Control, methodRelease, ReleaseRequest{Program: program}, &reply)
	if errors.Is(err, peer.ErrNotSent) {
		s.list.Suspect(holder, suspectWait)
	}
	return reply.Tokens, err
}
