/**
 * @fileoverview Graceful shutdown of the daemon.
 *
 * The first signal lets running requests end; a second one, or the deadline,
 * ends the process and says what was cut off.
 */
import {type Logger} from './observability/logger.js';

/** What a stop did not wait for. */
export interface StopReport {
  requests: number;
  settlements: number;
}

/** What can be stopped gracefully. */
export interface Stoppable {
  stop(): Promise<StopReport>;
  /** What would be cut off by ending now. */
  unfinished(): StopReport;
}

const signals = ['SIGTERM', 'SIGINT'] as const;

/** Waits for a signal and stops. */
export async function waitForShutdown(
  daemon: Stoppable,
  logger: Logger,
): Promise<StopReport> {
  const signal = await nextSignal();
  logger.info({signal}, 'stopping');
  const report = await Promise.race([
    daemon.stop(),
    nextSignal().then(() => daemon.unfinished()),
  ]);
  const isClean = report.requests + report.settlements === 0;
  if (isClean) logger.info(report, 'stopped');
  else logger.warn(report, 'stopped before all was finished');
  return report;
}

function nextSignal(): Promise<string> {
  return new Promise(resolve => {
    const listener = (signal: string) => {
      for (const name of signals) process.off(name, listener);
      resolve(signal);
    };
    for (const name of signals) process.on(name, listener);
  });
}
