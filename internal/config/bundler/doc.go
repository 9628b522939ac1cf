// Package bundler combines service files into one versioned configuration, the
// bundle, compares bundles and splits them into sections that instances send to each
// other.
//
// # Terms
//
//   - A bundle is a TOML text with the configuration of all services. Its key version
//     holds a number that rises with each publication; its key parent holds the number
//     of the bundle from which it was made.
//   - A sum is the 64-bit xxHash of the text of a bundle or section. The number and
//     the sum of a bundle form its Version, which orders bundles on all instances in
//     the same way.
//   - A section is the part of the text that describes one service; the first section
//     is all text before the first service. The sections in order are the whole text.
//   - A manifest lists the sums of the sections of a bundle in order. An instance that
//     receives it requests only the sections that it does not have.
package bundler
