/**
 * @fileoverview This router's copy of the fleet's state: the configuration, the
 * evacuations and the position in the leader's directory of servers, and how
 * current they are.
 */
import {applyChanges, noEvacuations, RouteTable} from '@dogwoodtrestle/fleet';
import {
  type BackendServerRecord,
  type ConfigurationUpdate,
  type DirectoryUpdate,
  type Evacuations,
  type FleetConfiguration,
} from '@dogwoodtrestle/schema';

import {type AppliedVersions, ControlView} from './controlView.js';
import {type EdgeOptions} from './edgeOptions.js';
import {type RecordListOptions} from './serverPool.js';

/** Receives the records of servers, and the failure domains that get nothing. */
export interface ServerListener {
  /** Called with new and changed records of backend servers. */
  onServers(records: BackendServerRecord[], options: RecordListOptions): void;
  /** Called when evacuations have begun or ended. */
  onEvacuations?(evacuations: Evacuations): void;
}

/** The copy. Versions count only once their changes have been applied. */
export class FleetCopy {
  readonly view: ControlView;
  private configuration?: FleetConfiguration;
  private routeTable?: RouteTable;
  private knownEvacuations = noEvacuations;
  private epoch = '';
  private revision = -1;

  constructor(
    private readonly options: Pick<EdgeOptions, 'clock' | 'logger'>,
    private readonly listener: ServerListener,
  ) {
    this.view = new ControlView(options.clock, () => this.versions);
  }

  /** The active configuration; undefined before the first one. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** The evacuated failure domains. */
  get evacuations(): Evacuations {
    return this.knownEvacuations;
  }

  /** Versions of what has been applied. */
  get versions(): AppliedVersions {
    const {epoch, revision} = this;
    const configurationVersion = this.configuration?.version ?? 0;
    const {revision: evacuationRevision} = this.knownEvacuations;
    return {
      configurationVersion,
      epoch,
      revision,
      ...(evacuationRevision > 0 && {evacuationRevision}),
    };
  }

  /** Applies a newer configuration, whichever leader it is from. */
  applyConfiguration(update: ConfigurationUpdate | undefined): void {
    if (update === undefined) return;
    const next = applyChanges(this.configuration, update);
    if (next === undefined) return;
    if (next.version <= (this.configuration?.version ?? 0)) return;
    const routeTable = new RouteTable(next);
    this.options.logger.info(
      {
        version: next.version,
        previous: this.configuration?.version,
        routes: next.routes.length,
      },
      'active configuration changed',
    );
    this.configuration = next;
    this.routeTable = routeTable;
  }

  /**
   * Applies newer evacuations, whichever leader they are from: the revision counts
   * the committed orders.
   */
  applyEvacuations(evacuations: Evacuations | undefined): void {
    if (evacuations === undefined) return;
    if (evacuations.revision <= this.knownEvacuations.revision) return;
    this.listener.onEvacuations?.(evacuations);
    this.knownEvacuations = evacuations;
  }

  /** Applies the changes of the current leader's directory. */
  applyDirectory(directory: DirectoryUpdate | undefined): void {
    if (directory === undefined) return;
    const {epoch, revision, records, isComplete = false} = directory;
    if (epoch === this.epoch && revision <= this.revision) return;
    this.listener.onServers(records, {isComplete});
    this.epoch = epoch;
    this.revision = revision;
  }

  /** Applies the departures of a leader that was replaced; they are final. */
  applyDepartures(directory: DirectoryUpdate | undefined): void {
    const departures = (directory?.records ?? []).filter(
      ({state}) => state === 'draining' || state === 'left',
    );
    if (departures.length === 0) return;
    this.listener.onServers(departures, {isComplete: false});
  }
}
