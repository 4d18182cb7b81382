/**
 * @fileoverview Fails on an unsupported Node.js version.
 */
const [major, minor] = process.versions.node.split('.').map(Number);
if (major !== 20 || minor < 18) {
  console.error(
    `Node.js 20.18 or a later 20.x is needed, this is ${process.version}`,
  );
  process.exit(1);
}
