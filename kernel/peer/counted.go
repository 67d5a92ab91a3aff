package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	controlRead    = metrics.GetOrCreateCounter(`coltsfootline_control_bytes_total{direction="read"}`)
	controlWritten = metrics.GetOrCreateCounter(`coltsfootline_control_bytes_total{direction="written"}`)
)

// countedConn counts the octets of control connections, without those of TCP and IP headers.
type countedConn struct {
	net.Conn
}

// Read counts what was read.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	controlRead.Add(n)
	return n, err
}

// Write counts what was written.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	controlWritten.Add(n)
	return n, err
}
