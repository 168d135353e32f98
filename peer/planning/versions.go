package planning

import (
	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/stream"
)

func encodeVersions(l stream.VersionList) []*planningpb.ListedVersion {
	var out []*planningpb.ListedVersion
	for s := range l {
		for _, v := range l.Versions(s) {
			out = append(out, &planningpb.ListedVersion{Service: string(s), Version: string(v), MayBegin: l[s][v]})
		}
	}
	return out
}

func decodeVersions(versions []*planningpb.ListedVersion) stream.VersionList {
	if len(versions) == 0 {
		return nil
	}
	l := stream.VersionList{}
	for _, v := range versions {
		l.Set(galenastair.ServiceName(v.Service), galenastair.SoftwareVersion(v.Version), v.MayBegin)
	}
	return l
}
