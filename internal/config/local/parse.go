package local

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/config/text"
)

// Parse reads settings: JSON with comments and trailing commas. It is strict;
// the error is a [*text.Error] that lists all that is wrong.
//
//	settings, err := local.Parse([]byte(`{"name": "node-1", /* … */}`))
func Parse(source []byte) (Settings, error) {
	var settings Settings
	document := text.Read("settings", source, &settings)
	if document.Sound() {
		c := &checker{Document: document, listeners: map[string]string{}}
		c.check(settings)
	}
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

type checker struct {
	*text.Document
	listeners map[string]string
}

func (c *checker) check(s Settings) {
	c.required("name", s.Name, "give this node a stable name")
	c.required("dataCentre", s.DataCentre, "name the data centre where this node stands")
	c.listener("callerAddress", s.CallerAddress, true)
	c.listener("peerAddress", s.PeerAddress, false)
	c.listener("operatorAddress", s.OperatorAddress, false)
	c.peers(s.Peers)
	c.remote("tableAddress", s.TableAddress)
	c.remote("objectAddress", s.ObjectAddress)
	c.remote("hostsAddress", s.HostsAddress)
	c.keyFiles("callerTls", s.CallerTLS, false)
	c.keyFiles("peerTls", s.PeerTLS, true)
	c.keyFiles("operatorTls", s.OperatorTLS, true)
	c.limits(s)
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	if len(s.Bootstrap) > 0 && s.BootstrapFile != "" {
		c.Add("bootstrapFile", "is given beside bootstrap", "keep one of them")
	}
}

func (c *checker) required(path, value, hint string) {
	if value == "" {
		c.Add(path, "is missing", hint)
	}
}

// listener checks an address to listen on; port 0 lets the system choose.
func (c *checker) listener(path, address string, required bool) {
	if address == "" {
		if required {
			c.Add(path, "is missing", "give an IP number and a port, such as 10.0.0.7:8080")
		}
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.notAddress(path, address)
		return
	}
	if first, ok := c.listeners[address]; ok && parsed.Port() != 0 {
		c.Add(path, "is the same as "+first, "give each listener its own port")
		return
	}
	c.listeners[address] = path
}

func (c *checker) remote(path, address string) {
	if address == "" {
		c.Add(path, "is missing", "give the platform's IP number and port")
		return
	}
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		c.notAddress(path, address)
	}
}

func (c *checker) notAddress(path, address string) {
	c.Add(path, fmt.Sprintf("%q is no IP number with a port", address), "names are not looked up; write for example 10.0.0.7:8080 or [fd00::7]:8080")
}

func (c *checker) peers(peers []string) {
	for i, peer := range peers {
		path := "peers[" + strconv.Itoa(i) + "]"
		c.remote(path, peer)
		if slices.Index(peers, peer) < i {
			c.Add(path, "is listed twice", "remove one")
		}
	}
}

func (c *checker) keyFiles(path string, files KeyFiles, mutual bool) {
	if !files.Set() {
		return
	}
	c.required(path+".certFile", files.CertFile, "name the file with the certificate, or remove all of "+path)
	c.required(path+".keyFile", files.KeyFile, "name the file with the private key, or remove all of "+path)
	if mutual {
		c.required(path+".caFile", files.CAFile, "name the file with the certificates that sign the other side's")
	}
}

func (c *checker) limits(s Settings) {
	values := map[string]int64{
		"limits.bodyBytes": s.Limits.BodyBytes, "limits.headerBytes": int64(s.Limits.HeaderBytes),
		"limits.headerMillis": int64(s.Limits.HeaderMillis), "limits.bodyMillis": int64(s.Limits.BodyMillis),
		"limits.idleMillis": int64(s.Limits.IdleMillis), "drain.balancerLagMillis": int64(s.Drain.BalancerLagMillis),
		"drain.limitMillis": int64(s.Drain.LimitMillis),
	}
	for path, value := range values {
		if value < 0 {
			c.Add(path, fmt.Sprintf("is %d", value), "it can't be negative")
		}
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if value != "" && !slices.Contains(allowed, value) {
		c.Add(path, fmt.Sprintf("%q is not known", value), fmt.Sprintf("use one of %q", allowed))
	}
}
