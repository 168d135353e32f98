package node

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
	"galenastair/platform"
	"galenastair/standin/metastore"
	"galenastair/stream"
)

// storeVersions has a leader store the versions of a service.
func storeVersions(t *testing.T, v *softwareVersions, s *metastore.Store, versions ...galenastair.SoftwareVersion) {
	t.Helper()
	for i := range 2 {
		v.log.Observe(boottime.Time(i)*boottime.Time(time.Minute), time.Now(), map[galenastair.ServiceName][]galenastair.SoftwareVersion{"writer": versions})
	}
	data := v.checkpointer().Checkpoint()
	if data == nil {
		t.Fatal("nothing to store")
	}
	s.Put(string(platform.VersionTopic), "Holder", data)
	v.checkpointer().Stored(data)
}

// Guards against an instance that infers the version of a stream from a store that has come back from a copy,
// in which the version that began it is missing.
func TestVersionsOfARestoredStoreAreNotReliedOn(t *testing.T) {
	is := is.New(t)
	s := metastore.New()
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	timeline := galenastair.Timeline(0)
	v := &softwareVersions{log: stream.NewVersionLog(), view: stream.NewVersionView(), registered: noVersions, logger: log.NewNopLogger(),
		store: platform.NewStore(h.Listener.Addr().String()), timeline: func() galenastair.Timeline { return timeline }}
	list, err := v.stored(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0)
	storeVersions(t, v, s, "v1")
	older := s.Copy()
	storeVersions(t, v, s, "v1", "v2")
	list, err = v.stored(t.Context())
	is.NoErr(err)
	is.Equal(len(list.Versions("writer")), 2)
	s.Restore(older)
	_, err = v.stored(t.Context())
	is.True(err != nil)
	// a leader of the new timeline stores the versions once more
	timeline = 1
	storeVersions(t, v, s, "v1", "v2")
	list, err = v.stored(t.Context())
	is.NoErr(err)
	is.Equal(len(list.Versions("writer")), 2)
	is.Equal(len(v.checkpointer().Checkpoint()), 0)
}
