/**
 * @fileoverview Tries to found the cluster until that is done.
 */
import {type Clock, sleep} from '@dogwoodtrestle/runtime';
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  bootstrapCluster,
  type BootstrapOptions,
} from '@dogwoodtrestle/consensus';

/** What the founder needs. */
export interface ClusterBootstrapperOptions extends BootstrapOptions {
  clock: Clock;
  logger: Logger;
}

const retryMilliseconds = 500;

/** Founds the cluster if this instance is to do so and nobody has yet. */
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
        logger.debug({}, 'waiting for all initial replicas to found');
        await sleep(clock, retryMilliseconds);
      }
    } catch (error) {
      logger.error({err: error}, 'the cluster could not be founded');
    }
  }
}
