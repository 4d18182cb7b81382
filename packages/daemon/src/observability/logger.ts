/**
 * @fileoverview The daemon's log: one JSON line for each event.
 */
import {type Settings} from '@dogwoodtrestle/schema';
import {pino, type Logger} from 'pino';

export type {Logger} from 'pino';

/** Creates the log of an instance, on standard output. */
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
