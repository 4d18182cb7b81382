/**
 * @fileoverview Retries to bootstrap the cluster until it is done.
 */
import {type Clock, sleep} from '@dogwoodtrestle/runtime';
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  bootstrapCluster,
  type BootstrapOptions,
} from '@dogwoodtrestle/consensus';

/** Options of the bootstrapper. */
export interface ClusterBootstrapperOptions extends BootstrapOptions {
  clock: Clock;
  logger: Logger;
}

const retryMilliseconds = 500;

/** Bootstraps the cluster if none exists and this instance is responsible. */
export class ClusterBootstrapper {
  private stopped = false;

  constructor(private readonly options: ClusterBootstrapperOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    const {clock, logger} = this.options;
    try {
      while (
        !this.stopped &&
        (await bootstrapCluster(this.options)) === 'waiting'
      ) {
        logger.debug({}, 'waiting for all initial replicas to bootstrap');
        await sleep(clock, retryMilliseconds);
      }
    } catch (error) {
      logger.error({err: error}, 'cluster bootstrap failed');
    }
  }
}
