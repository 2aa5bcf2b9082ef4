package load

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// Fleet is what a daemon has under way at its engines.
type Fleet interface {
	// UnderWay counts this daemon's requests by engine.
	UnderWay() map[string]int
	// Learn takes in what all daemons have under way; own is what this one posted.
	Learn(all, own map[string]int)
}

// Poster keeps one daemon's picture up to date.
type Poster struct {
	List   *members.List
	Caller peer.Caller
	Board  *Board // of this daemon, for when it is the board
	Fleet  Fleet
}

const (
	// boardKey is what daemons claim to be the board.
	boardKey = "load board"
	// postWait is how long a post may take; the board is passed over after it.
	postWait = 150 * time.Millisecond
	passOver = time.Second
	// leastInterval and intervalShare bound how often a board is posted to: as
	// often as tells something new, and by all daemons together so often that the
	// smallest machine can be the board.
	leastInterval = 100 * time.Millisecond
	intervalShare = 3 * time.Millisecond
)

// Run posts until the context ends.
func (p *Poster) Run(ctx context.Context) {
	for pause.For(ctx, p.interval()) {
		p.post(ctx)
	}
}

func (p *Poster) interval() time.Duration {
	return max(leastInterval, time.Duration(p.List.Count())*intervalShare)
}

func (p *Poster) post(ctx context.Context) {
	own := p.Fleet.UnderWay()
	homes := p.List.Homes(boardKey)
	board := homes.At(0)
	var picture Picture
	if err := p.postTo(ctx, board, Post{Member: string(p.List.Self().Machine), UnderWay: own}, &picture); err == nil {
		p.Fleet.Learn(picture.UnderWay, own)
	} else if ctx.Err() == nil {
		p.List.Suspect(board, passOver)
	}
}

func (p *Poster) postTo(ctx context.Context, board members.Member, post Post, picture *Picture) error {
	if board.Process == p.List.Self() {
		return p.Board.Post(post, picture)
	}
	limited, cancel := context.WithTimeout(ctx, postWait)
	defer cancel()
	return p.Caller.Call(limited, board.Process.Address, peer.Control, methodPost, post, picture)
}
