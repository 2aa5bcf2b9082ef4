package abuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// largestDeadline is the time for one of the largest requests.
const largestDeadline = 15 * time.Second

// RunLargest starts a gateway on the machine and sends it the largest requests that the limits allow,
// one after the other, without other load. It returns the statuses by the name of the request, 0 for
// none, and the peak of the process's memory in bytes.
func RunLargest(ctx context.Context, binary string, machine Machine) (statuses map[string]int, peakMemory int64, err error) {
	return runCalm(ctx, binary, machine, largestRequests)
}

// RunLargestTurn is like RunLargest, with the largest turn of a conversation that is recorded.
func RunLargestTurn(ctx context.Context, binary string, machine Machine) (statuses map[string]int, peakMemory int64, err error) {
	return runCalm(ctx, binary, machine, func(to Target) []largestRequest {
		to.Path = pathTurn
		header := to.head(http.MethodPost, to.Path, "turn-1") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
		return []largestRequest{{name: "a turn", header: header, body: bodyPiece, repeat: maxBodyBytes / len(bodyPiece)}}
	})
}

// runCalm sends the requests one after the other.
func runCalm(ctx context.Context, binary string, machine Machine, requests func(Target) []largestRequest) (statuses map[string]int, peakMemory int64, err error) {
	options := Options{GatewayBinary: binary, Machine: machine, Endpoint: EndpointRoute}
	statuses = map[string]int{}
	_, err = withProcess(ctx, options, func(p *process) error {
		to := p.target(EndpointRoute)
		for _, each := range requests(to) {
			statuses[each.name] = sendLargest(ctx, to, each)
		}
		peakMemory = p.peakMemory.Load()
		return nil
	})
	return statuses, peakMemory, err
}

// largestRequest is a request at the limits.
type largestRequest struct {
	name   string
	header string
	body   string // on the wire; sent repeat times
	repeat int
	end    string
}

func largestRequests(to Target) []largestRequest {
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes), "Transfer-Encoding: chunked\r\n"
	sameFields := func(id, framing string) string {
		begin := to.head(http.MethodPost, to.Path, id) + framing
		const field, emptyLine = "a:\r\n", "\r\n"
		return begin + strings.Repeat(field, (maxHeaderBytes-len(begin)-len(emptyLine))/len(field)) + emptyLine
	}
	whole := func(name, header string) largestRequest {
		return largestRequest{name: name, header: header, body: bodyPiece, repeat: maxBodyBytes / len(bodyPiece)}
	}
	tiny := func(name, header string) largestRequest {
		return largestRequest{name: name, header: header, body: tinyChunks, repeat: maxBodyBytes / tinyChunksPerWrite, end: "0\r\n\r\n"}
	}
	return []largestRequest{
		whole("many fields, body of known length", to.largestHeader("largest-1", length)),
		whole("most fields, body of known length", sameFields("largest-2", length)),
		tiny("many fields, body in one-byte chunks", to.largestHeader("largest-3", chunked)),
		tiny("most fields, body in one-byte chunks", sameFields("largest-4", chunked)),
	}
}

// sendLargest sends the request and returns the status of the answer; 0 for none.
func sendLargest(ctx context.Context, to Target, sent largestRequest) int {
	ctx, cancel := context.WithTimeout(ctx, largestDeadline)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	go func() {
		sending := write(connection, sent.header)
		for index := 0; sending && index < sent.repeat; index++ {
			sending = write(connection, sent.body)
		}
		if sending {
			write(connection, sent.end)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
