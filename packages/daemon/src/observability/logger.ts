/**
 * @fileoverview Log of the daemon, with one JSON object per line.
 */
import {type Settings} from '@dogwoodtrestle/schema';
import {pino, type Logger} from 'pino';

export type {Logger} from 'pino';

/** Creates the logger of an instance, which writes to standard output. */
export function createLogger(settings: Settings): Logger {
  return pino({
    level: settings.log.level,
    base: {
      cluster: settings.cluster.name,
      instance: settings.instance.name,
    },
    timestamp: pino.stdTimeFunctions.isoTime,
    redact: ['headers.authorization', 'key'],
  });
}
