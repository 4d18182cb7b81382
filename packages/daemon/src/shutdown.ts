/**
 * @fileoverview Graceful shutdown of the daemon.
 *
 * After the first signal, running requests may finish. A second signal or the
 * deadline ends the process, and the unfinished work is logged.
 */
import {type Logger} from './observability/logger.js';

/** Numbers of requests and settlements that were unfinished at the stop. */
export interface StopReport {
  requests: number;
  settlements: number;
}

/** A process that can be stopped gracefully. */
export interface Stoppable {
  /** Finishes running work within a deadline and stops. */
  stop(): Promise<StopReport>;
  /** Work that would be lost if the process ended now. */
  unfinished(): StopReport;
}

const signals = ['SIGTERM', 'SIGINT'] as const;

/**
 * Waits for SIGTERM or SIGINT and stops the daemon.
 *
 * @returns The work that was unfinished when the daemon stopped or a second
 *     signal arrived.
 */
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
  else logger.warn(report, 'stopped with unfinished work');
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
