/** @fileoverview Face of the package; see its README. */
export {};
