package local_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/local"
)

// validText is a valid text. The tests replace parts of it with invalid ones.
const validText = `{
  "name": "tema-1", "dataCentre": "tema", // A comment.
  "callerAddress": "10.0.0.1:8080", "peerAddress": "10.0.0.1:8081", "operatorAddress": "10.0.0.1:8082",
  "peers": ["10.0.0.2:8081", "10.0.0.3:8081"],
  "tableAddress": "10.1.0.1:7001", "objectAddress": "10.1.0.1:7002", "hostsAddress": "10.1.0.1:7003",
  "peerTls": {"certFile": "c.pem", "keyFile": "k.pem", "caFile": "ca.pem"},
  "limits": {"bodyBytes": 1000, "headerMillis": 50},
  "drain": {"balancerLagMillis": 2000, "limitMillis": 60000},
  "log": {"format": "json", "level": "warn"},
  "bootstrap": {"site": "tema"},
}`

func TestValidSettings(t *testing.T) {
	settings, err := local.Parse([]byte(validText))
	require.NoError(t, err)
	assert.Equal(t, "tema-1", settings.Name)
	assert.JSONEq(t, `{"site": "tema"}`, string(settings.Bootstrap))
	limits := settings.Limits.WithDefaults()
	assert.EqualValues(t, 1000, limits.BodyBytes)
	assert.Equal(t, 50*time.Millisecond, limits.HeaderTimeout())
	assert.Equal(t, 30*time.Second, limits.BodyTimeout())
	assert.Equal(t, 2*time.Second, settings.Drain.BalancerLag())
}

func TestBadSettings(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"no name":             {`"name": "tema-1", `, ``, `1:1: name: is missing; set a name that stays the same across restarts`},
		"no data centre":      {`"dataCentre": "tema",`, ``, `1:1: dataCentre: is missing`},
		"unknown field":       {`"peers"`, `"pears"`, `4:3: pears: is not a known field; did you mean "peers"?`},
		"duplicate key":       {`"name": "tema-1"`, `"name": "tema-1", "name": "x"`, `2:21: name: is given twice`},
		"wrong type":          {`"name": "tema-1"`, `"name": 1`, `2:11: name: must be a string`},
		"host name":           {`"10.0.0.1:8080"`, `"localhost:8080"`, `callerAddress: "localhost:8080" is not an IP address with a port; host names are not resolved`},
		"no caller address":   {`"callerAddress": "10.0.0.1:8080", `, ``, `callerAddress: is missing`},
		"same port":           {`"10.0.0.1:8082"`, `"10.0.0.1:8080"`, `operatorAddress: is the same as callerAddress; give each listener its own port`},
		"bad peer":            {`"10.0.0.2:8081"`, `"10.0.0.2"`, `peers[0]: "10.0.0.2" is not an IP address with a port`},
		"peer twice":          {`"10.0.0.3:8081"`, `"10.0.0.2:8081"`, `peers[1]: is listed twice`},
		"no table":            {`"tableAddress": "10.1.0.1:7001", `, ``, `tableAddress: is missing; set the platform's IP address and port`},
		"port zero of table":  {`"10.1.0.1:7001"`, `"10.1.0.1:0"`, `tableAddress: "10.1.0.1:0" is not an IP address with a port`},
		"no key file":         {`"keyFile": "k.pem", `, ``, `peerTls.keyFile: is missing; set the path of the private key file`},
		"no certificates":     {`, "caFile": "ca.pem"`, ``, `peerTls.caFile: is missing`},
		"negative limit":      {`"bodyBytes": 1000`, `"bodyBytes": -1`, `limits.bodyBytes: is -1; it can't be negative`},
		"negative drain":      {`"limitMillis": 60000`, `"limitMillis": -1`, `drain.limitMillis: is -1`},
		"unknown log format":  {`"json"`, `"xml"`, `log.format: "xml" is not a valid value; use one of ["text" "json"]`},
		"unknown log level":   {`"warn"`, `"loud"`, `log.level: "loud" is not a valid value`},
		"two bootstraps":      {`"bootstrap":`, `"bootstrapFile": "x", "bootstrap":`, `bootstrapFile: is given together with bootstrap; keep one of them`},
		"fraction in integer": {`50`, `0.5`, `limits.headerMillis: must be a whole number`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validText, test.old)
			settings, err := local.Parse([]byte(strings.Replace(validText, test.old, test.new, 1)))
			var invalid *jsonc.Error
			require.ErrorAs(t, err, &invalid)
			assert.ErrorContains(t, err, test.want)
			assert.Zero(t, settings)
		})
	}
}

func ExampleParse() {
	_, err := local.Parse([]byte(`{"name": "tema-1", "dataCentre": "tema", "callerAddress": "tema:8080"}`))
	fmt.Println(err)
	// Output:
	// 4 errors in the settings, nothing was applied:
	//   1:1: tableAddress: is missing; set the platform's IP address and port
	//   1:1: objectAddress: is missing; set the platform's IP address and port
	//   1:1: hostsAddress: is missing; set the platform's IP address and port
	//   1:59: callerAddress: "tema:8080" is not an IP address with a port; host names are not resolved; write for example 10.0.0.7:8080 or [fd00::7]:8080
}
