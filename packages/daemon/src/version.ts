/**
 * @fileoverview Version of the daemon.
 */
import {readFileSync} from 'node:fs';

const manifest = JSON.parse(
  readFileSync(new URL('../package.json', import.meta.url), 'utf8'),
) as {version: string};

/** Version in the package's manifest. */
export const version = manifest.version;
