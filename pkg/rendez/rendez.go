package rendez

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit hash of a name. It is the same on every host and
// in every version.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Score returns the weight of node for key. The node with the highest score
// owns the key.
func Score(key, node uint64) uint64 {
	return mix(key ^ mix(node))
}

// mix is the finalizer of splitmix64, G. L. Steele, D. Lea and C. H. Flood,
// "Fast splittable pseudorandom number generators", OOPSLA 2014.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// First returns the index of the node that owns key, or -1 if nodes is empty.
func Owner(key uint64, nodes []uint64) int {
	best := -1
	var top uint64
	for i, n := range nodes {
		s := Score(key, n)
		if best < 0 || s > top {
			best = i
			top = s
		}
	}
	return best
}

// Top appends to dst the indices of the k nodes with the highest scores for
// key, highest first, and returns the result. It appends fewer than k if
// there are fewer nodes. It does not allocate if dst has room.
func Top(key uint64, nodes []uint64, k int, dst []int) []int {
	start := len(dst)
	for i, n := range nodes {
		s := Score(key, n)
		j := len(dst)
		for j > start && Score(key, nodes[dst[j-1]]) < s {
			j--
		}
		if j-start >= k {
			continue
		}
		if len(dst)-start < k {
			dst = append(dst, 0)
		}
		copy(dst[j+1:], dst[j:])
		dst[j] = i
	}
	return dst
}
