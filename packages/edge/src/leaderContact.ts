/**
 * @fileoverview When leaders have replied. A reply is contact; it confirms this
 * router's copy of the state only if the leader vouches for it.
 */
import {type Histogram} from '@dogwoodtrestle/runtime';

import {type EdgeOptions} from './edgeOptions.js';
import {type FleetCopy} from './fleetCopy.js';

/** Time without contact after which the control processes are unreachable. */
const contactTimeoutMilliseconds = 2_500;

/** Contact with the leader. */
export class LeaderContact {
  private readonly viewAges: Histogram;
  private repliedAt = -Infinity;
  private vouchedAt = -Infinity;
  private isLost = true;
  private isOutdated = false;

  constructor(
    private readonly options: Pick<
      EdgeOptions,
      'clock' | 'logger' | 'metrics' | 'viewBoundMilliseconds'
    >,
    private readonly copy: FleetCopy,
  ) {
    this.viewAges = options.metrics.histogram(
      'dogwoodtrestle_view_age_milliseconds',
      'Time since a leader confirmed the configuration and the servers.',
    );
  }

  /** Milliseconds since the last reply of a leader. */
  get ageMilliseconds(): number {
    return this.options.clock.now() - this.repliedAt;
  }

  /** Whether a leader has replied recently. */
  get isRecent(): boolean {
    return this.ageMilliseconds < contactTimeoutMilliseconds;
  }

  /** Whether a leader that vouches for its state has replied recently. */
  get isVouchedFor(): boolean {
    const age = this.options.clock.now() - this.vouchedAt;
    return age < contactTimeoutMilliseconds;
  }

  /** Records the reply of a leader. */
  record(leader: string): void {
    const {clock, logger} = this.options;
    this.repliedAt = clock.now();
    if (!this.isLost) return;
    this.isLost = false;
    logger.info({leader}, 'control processes are reached');
  }

  /** Records that a leader has vouched for its state. */
  recordVouched(): void {
    this.vouchedAt = this.options.clock.now();
  }

  /** Logs when the control processes are out of reach. */
  detectLoss(): void {
    if (this.isLost || this.isRecent) return;
    this.isLost = true;
    this.options.logger.warn(
      this.describe(),
      'control processes are out of reach',
    );
  }

  /** Samples the age of the copy, and logs when it passes its bound. */
  sampleViewAge(): void {
    if (this.copy.routes === undefined) return;
    const {logger, viewBoundMilliseconds} = this.options;
    const age = this.copy.view.ageMilliseconds;
    if (Number.isFinite(age)) this.viewAges.observe(age);
    // A router that is cut off has no contact either.
    const hasContact = 2 * this.ageMilliseconds < age;
    const isOld = age > viewBoundMilliseconds();
    const isOutdated = hasContact && isOld;
    if (isOutdated === this.isOutdated) return;
    this.isOutdated = isOutdated;
    if (isOutdated) {
      logger.warn(this.describe(), 'no leader confirms the configuration');
    } else if (!isOld) {
      logger.info(this.describe(), 'the configuration is confirmed again');
    }
  }

  private describe(): object {
    const {view, versions} = this.copy;
    return {
      contactAgeMilliseconds: Math.round(this.ageMilliseconds),
      viewAgeMilliseconds: Math.round(view.ageMilliseconds),
      version: versions.configurationVersion,
    };
  }
}
