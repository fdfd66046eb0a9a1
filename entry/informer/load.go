package informer

import (
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/entry/informer/informerpb"
)

func toLoads(loads []sharer.IndexLoad) []*informerpb.Load {
	list := make([]*informerpb.Load, len(loads))
	for i, l := range loads {
		list[i] = &informerpb.Load{
			Index: l.Index, Workspace: l.Workspace, Rank: int32(l.Rank), Requests: l.Requests, Admitted: l.Admitted, Served: l.Served,
		}
	}
	return list
}

func fromLoads(list []*informerpb.Load) []sharer.IndexLoad {
	loads := make([]sharer.IndexLoad, len(list))
	for i, l := range list {
		loads[i] = sharer.IndexLoad{Index: l.GetIndex(), Load: sharer.Load{
			Class:    sharer.Class{Rank: int(l.GetRank()), Workspace: l.GetWorkspace()},
			Requests: l.GetRequests(), Admitted: l.GetAdmitted(), Served: l.GetServed(),
		}}
	}
	return loads
}

// addLoad adds a load to a list that has one for each class of each index.
func addLoad(merged []sharer.IndexLoad, positions map[loadKey]int, load sharer.IndexLoad) []sharer.IndexLoad {
	key := loadKey{load.Index, load.Class}
	i, ok := positions[key]
	if !ok {
		positions[key] = len(merged)
		return append(merged, load)
	}
	merged[i].Requests += load.Requests
	merged[i].Admitted += load.Admitted
	merged[i].Served += load.Served
	return merged
}

type loadKey struct {
	index string
	class sharer.Class
}
