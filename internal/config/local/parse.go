package local

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
)

// Parse reads settings: JSON with comments and trailing commas. It rejects unknown
// and duplicate fields. The error is a [*jsonc.Error] that lists all issues.
//
//	settings, err := local.Parse([]byte(`{"name": "node-1", /* … */}`))
func Parse(source []byte) (Settings, error) {
	var settings Settings
	document := jsonc.Decode("settings", source, &settings)
	if document.Parsed() {
		c := &checker{Document: document, listeners: map[string]string{}}
		c.check(settings)
	}
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// checker validates settings whose syntax and types are valid.
type checker struct {
	*jsonc.Document
	// listeners maps each address to listen on to the path of its field.
	listeners map[string]string
}

func (c *checker) check(s Settings) {
	c.checkRequired("name", s.Name, "set a name that stays the same across restarts")
	c.checkRequired("dataCentre", s.DataCentre, "set the data centre of this node")
	c.checkListener("callerAddress", s.CallerAddress, true)
	c.checkListener("peerAddress", s.PeerAddress, false)
	c.checkListener("operatorAddress", s.OperatorAddress, false)
	c.checkPeers(s.Peers)
	c.checkRemote("tableAddress", s.TableAddress)
	c.checkRemote("objectAddress", s.ObjectAddress)
	c.checkRemote("hostsAddress", s.HostsAddress)
	c.checkKeyFiles("callerTls", s.CallerTLS, false)
	c.checkKeyFiles("peerTls", s.PeerTLS, true)
	c.checkKeyFiles("operatorTls", s.OperatorTLS, true)
	c.checkLimits(s)
	c.checkOneOf("log.format", s.Log.Format, "text", "json")
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	if len(s.Bootstrap) > 0 && s.BootstrapFile != "" {
		c.Add("bootstrapFile", "is given together with bootstrap", "keep one of them")
	}
}

func (c *checker) checkRequired(path, value, hint string) {
	if value == "" {
		c.Add(path, "is missing", hint)
	}
}

// checkListener checks an address to listen on. Port 0 lets the system choose a port.
func (c *checker) checkListener(path, address string, required bool) {
	if address == "" {
		if required {
			c.Add(path, "is missing", "set an IP address and a port, such as 10.0.0.7:8080")
		}
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.addInvalidAddress(path, address)
		return
	}
	if first, ok := c.listeners[address]; ok && parsed.Port() != 0 {
		c.Add(path, "is the same as "+first, "give each listener its own port")
		return
	}
	c.listeners[address] = path
}

func (c *checker) checkRemote(path, address string) {
	if address == "" {
		c.Add(path, "is missing", "set the platform's IP address and port")
		return
	}
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		c.addInvalidAddress(path, address)
	}
}

func (c *checker) addInvalidAddress(path, address string) {
	c.Add(path, fmt.Sprintf("%q is not an IP address with a port", address), "host names are not resolved; write for example 10.0.0.7:8080 or [fd00::7]:8080")
}

func (c *checker) checkPeers(peers []string) {
	for i, peer := range peers {
		path := "peers[" + strconv.Itoa(i) + "]"
		c.checkRemote(path, peer)
		if slices.Index(peers, peer) < i {
			c.Add(path, "is listed twice", "remove one")
		}
	}
}

func (c *checker) checkKeyFiles(path string, files KeyFiles, mutual bool) {
	if !files.Configured() {
		return
	}
	c.checkRequired(path+".certFile", files.CertFile, "set the path of the certificate file, or remove all of "+path)
	c.checkRequired(path+".keyFile", files.KeyFile, "set the path of the private key file, or remove all of "+path)
	if mutual {
		c.checkRequired(path+".caFile", files.CAFile, "set the path of the CA file that verifies the other side")
	}
}

func (c *checker) checkLimits(s Settings) {
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

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if value != "" && !slices.Contains(allowed, value) {
		c.Add(path, fmt.Sprintf("%q is not a valid value", value), fmt.Sprintf("use one of %q", allowed))
	}
}
