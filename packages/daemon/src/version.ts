/**
 * @fileoverview Version of the daemon.
 */
import {readFileSync} from 'node:fs';

const manifest = JSON.parse(
  readFileSync(new URL('../package.json', import.meta.url), 'utf8'),
) as {version: string};

/** Version, as the package's manifest states it. */
export const version = manifest.version;
