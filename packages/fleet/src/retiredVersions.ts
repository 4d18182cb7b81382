/**
 * @fileoverview Software versions that servers had until they left, or until they
 * started again with another one. Streams that they began may still be taken up.
 */
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

import {softwareVersionOf} from './serverRecords.js';

/** A version of a service's software that a server no longer has. */
export interface RetiredVersion {
  service: string;
  softwareVersion: string;
  /** When the last server had it, in milliseconds. */
  retiredAt: number;
}

/** Most versions that are remembered; the oldest ones are removed. */
const maxVersions = 1_000;

/** Retired versions, the oldest first. Times are of one clock. */
export class RetiredVersions {
  private versions: RetiredVersion[] = [];

  /** Records that a server's known record is replaced by a newer one. */
  observe(
    known: BackendServerRecord | undefined,
    record: BackendServerRecord,
    now: number,
  ): void {
    const before = known ?? record;
    const isSame =
      record.state !== 'left' &&
      before.service === record.service &&
      softwareVersionOf(before) === softwareVersionOf(record);
    if (isSame || known?.state === 'left') return;
    const {service} = before;
    const softwareVersion = softwareVersionOf(before);
    this.versions = this.versions.filter(
      version =>
        version.service !== service ||
        version.softwareVersion !== softwareVersion,
    );
    this.versions.push({service, softwareVersion, retiredAt: now});
    this.versions = this.versions.slice(-maxVersions);
  }

  /** Versions of a service that a server had at a time or later. */
  since(service: string, time: number): string[] {
    return this.versions
      .filter(
        version => version.service === service && version.retiredAt >= time,
      )
      .map(({softwareVersion}) => softwareVersion);
  }

  /** Returns all versions as JSON values, for `restore`. */
  snapshot(): RetiredVersion[] {
    return this.versions;
  }

  restore(versions: readonly RetiredVersion[]): void {
    this.versions = [...versions];
  }
}
