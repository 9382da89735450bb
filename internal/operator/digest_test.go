package operator

import (
	"encoding/json"
	"testing"
)

// allSections is a file that sets every table and every array of tables.
const allSections = `[extproc]
listen = "unix:/run/x.sock"
mode = "answer"
fallback_within = "100ms"
[[extproc.map]]
methods = ["GET"]
path = "/tiles/{key}"
class = "tile-read"
many = true
[identity]
keys = "k"
issuer = "i"
audience = "a"
[identity.tls]
cert = "c"
key = "k"
roots = "r"
fronts = ["resp2"]
[[identity.tenant]]
name = "kiosk"
classes = ["tile-read"]
prefixes = ["map/"]
fronts = ["resp2"]
read_only = true
max_value = 10
rate = 2
[[identity.certificate]]
dns = "kiosk.example"
tenant = "kiosk"
[joining]
followers = 10
[many_keys]
keys = 12
[orders]
dir = "/var/lib/x"
[instances]
listen = ["127.0.0.1:7"]
advertise = ["10.0.0.1:7"]
join = ["10.0.0.2:7"]
key_file = "secret"
[zones]
least = 0.5
[[zones.region]]
name = "south"
zones = ["a", "b"]
`

const allSectionsJSON = `{"Path":"f",` +
	`"ExtProc":{"Listen":"unix:/run/x.sock","Mode":"answer","Unmapped":"refuse","MaxStreams":256,"MessageTimeout":200000000,"MaxMessageTimeout":0,"Margin":10000000,"ReturnWithin":250000000,"Remember":30000000000,"ContentType":"application/octet-stream","MissStatus":404,"ShedStatus":429,"Fallbacks":0,"FallbackWithin":100000000,"Headers":{"RequestID":"x-request-id","Tenant":"x-tenant","Key":"idempotency-key","Attempt":"x-envoy-attempt-count","TimeLeft":["x-envoy-expected-rq-timeout-ms","grpc-timeout"],"Destination":"x-gateway-destination-endpoint","Retry":"x-linenloom-retry","TryTimeout":""},"Map":[{"Methods":["GET"],"Path":"/tiles/{key}","Class":"tile-read","Key":"{key}","Write":false,"Many":true,"Line":5}]},` +
	`"Identity":{"Keys":"k","Issuer":"i","Audience":"a","TenantClaim":"tenant","Name":"tk","Leeway":30000000000,"MaxLife":86400000000000,"Known":4096,"ChecksPerS":500,"Replays":65536,"Suspects":4096,"Tenants":[{"Name":"kiosk","Classes":["tile-read"],"Prefixes":["map/"],"Fronts":["resp2"],"ReadOnly":true,"MaxValue":10,"Rate":2,"Line":19}],"TLS":{"Cert":"c","Key":"k","Roots":"r","Client":"asked","Fronts":["resp2"],"Handshakes":200},"Certificates":[{"URI":"","DNS":"kiosk.example","Issuer":"","Tenant":"kiosk","Line":27}]},` +
	`"Joining":{"Followers":10,"PerTenant":4096,"Flights":4096,"AcrossTenants":false},` +
	`"ManyKeys":{"Keys":12,"Bytes":4194304,"Out":64,"Part":16},` +
	`"Orders":{"Dir":"/var/lib/x","Most":100000,"MostBytes":67108864,"Keep":86400000000000,"Line":256,"Segment":4194304,"CompactAt":10000,"Strangers":"look_up","Receipts":["extproc"]},` +
	`"Instances":{"Listen":["127.0.0.1:7"],"Advertise":["10.0.0.1:7"],"Join":["10.0.0.2:7"],"Cluster":"linenloom","KeyFile":"secret","Forget":60000000000},` +
	`"Zones":{"Least":0.5,"Region":[{"Name":"south","Zones":["a","b"],"Line":43}]}}`

// TestJSONKeysAndOrder pins the JSON of a File. The settings digest hashes it, and processes of different
// builds compare their digests: a changed key or order would make equal settings look different during an
// upgrade.
func TestJSONKeysAndOrder(t *testing.T) {
	f, err := Parse("f", []byte(allSections))
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != allSectionsJSON {
		t.Errorf("the JSON of the file is\n%s\nwant\n%s", text, allSectionsJSON)
	}
}
