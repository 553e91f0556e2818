package crmemory

import (
	"os"
	"path"
	"strconv"
	"strings"
)

// Granted returns the memory that the system grants to this process, in bytes: the smallest limit
// of its control groups, or else the memory of the machine. It returns zero if the system doesn't
// say.
func Granted() int64 {
	read := func(name string) string {
		// A file that is missing or can't be read says nothing.
		data, _ := os.ReadFile(name)
		return string(data)
	}
	return granted(read)
}

// granted is Granted with the function that reads a file.
func granted(read func(name string) string) int64 {
	total := int64(0)
	for line := range strings.Lines(read("/proc/meminfo")) {
		if text, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			total = parseBytes(strings.TrimSuffix(strings.TrimSpace(text), " kB")) << 10
		}
	}
	for line := range strings.Lines(read("/proc/self/cgroup")) {
		// The line is "ID:controllers:path"; without controllers it is of the unified hierarchy.
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) < 3 {
			continue
		}
		root, file := "/sys/fs/cgroup", "memory.max"
		if fields[1] != "" {
			if !strings.Contains(","+fields[1]+",", ",memory,") {
				continue
			}
			root, file = "/sys/fs/cgroup/memory", "memory.limit_in_bytes"
		}
		for group := fields[2]; ; group = path.Dir(group) {
			if n := parseBytes(read(path.Join(root, group, file))); n > 0 && (n < total || total == 0) {
				total = n
			}
			if group == "/" || group == "." {
				break
			}
		}
	}
	return total
}

// parseBytes returns a count of bytes, or zero for other text, such as "max".
func parseBytes(text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
