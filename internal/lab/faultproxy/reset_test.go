package faultproxy_test

import (
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
)

// Guards against a target's reset that the dialling side takes for an ordinary end, since the link's writer was
// told of it and not its reader.
var _ = It("passes on a reset while the dialling side sends", func() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(connection, make([]byte, 1))
			_, _ = io.WriteString(connection, "a part")
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	}()
	link, err := faultproxy.Listen("127.0.0.1:0", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Close)
	const repetitions = 100 // what the link's writer and reader are told is a race
	for range repetitions {
		dialled, err := net.Dial("tcp4", link.Address())
		Expect(err).NotTo(HaveOccurred())
		connection := answer.NewConnection(dialled)
		connection.BeginRequest()
		go func() {
			defer connection.EndRequest()
			_, _ = connection.Write(make([]byte, 1<<20))
		}()
		_, err = io.ReadAll(connection)
		Expect(err).To(HaveOccurred(), "the end of the input is no ordinary one")
		_ = connection.Close()
	}
})
