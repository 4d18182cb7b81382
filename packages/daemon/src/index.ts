/** @fileoverview Public API of the package; it exports nothing. */
export {};
