/**
 * @fileoverview Evacuated failure domains in the replicated state: no requests
 * are sent to their backend servers until an operator takes the order back.
 *
 * Load pattern: an operator gives few orders, repeats each until it is
 * acknowledged, and gives them to any control process. A forwarded order may
 * arrive after a later one, when the process that forwarded it has given it up.
 * So an order names the revision that this process knew, and has no effect on
 * another one; a process that still has the order gives it again.
 */
import {
  type Evacuation,
  type Evacuations,
  type FinishEvacuation,
  type StartEvacuation,
} from '@dogwoodtrestle/schema';

/** Most failure domains that are evacuated at once. */
export const maxEvacuations = 1_000;

/** Most characters in the name of a failure domain. */
export const maxFailureDomainCharacters = 128;

/** Evacuations before the first order. */
export const noEvacuations: Evacuations = {revision: 0, evacuations: []};

/** Effect of an order, and the revision of the evacuations afterwards. */
export interface EvacuationOutcome {
  /**
   * An order has no effect if the failure domain is as ordered already
   * (`unchanged`), or if another order came before it (`superseded`).
   */
  kind: 'changed' | 'unchanged' | 'superseded' | 'tooMany';
  revision: number;
}

/** Evacuated failure domains. */
export class EvacuationList {
  private readonly evacuations = new Map<string, Evacuation>();
  private revision = 0;

  /** The list as a JSON value. */
  get state(): Evacuations {
    return {
      revision: this.revision,
      evacuations: [...this.evacuations.values()],
    };
  }

  /** Replaces the list by one of a snapshot. */
  restore({revision, evacuations}: Evacuations): void {
    this.revision = revision;
    this.evacuations.clear();
    for (const evacuation of evacuations) {
      this.evacuations.set(evacuation.failureDomain, evacuation);
    }
  }

  /**
   * Starts the evacuation of a failure domain.
   *
   * @param now Time by the replicated log, in Unix milliseconds.
   */
  start(order: StartEvacuation, now: number): EvacuationOutcome {
    const {failureDomain, requestedBy} = order;
    if (this.evacuations.has(failureDomain)) return this.confirm();
    if (this.isSuperseded(order)) return this.outcome('superseded');
    if (this.evacuations.size >= maxEvacuations) return this.outcome('tooMany');
    const revision = ++this.revision;
    this.evacuations.set(failureDomain, {
      failureDomain,
      startedAt: now,
      requestedBy,
      revision,
    });
    return this.outcome('changed');
  }

  /** Ends the evacuation of a failure domain. */
  finish(order: FinishEvacuation): EvacuationOutcome {
    const {failureDomain} = order;
    if (!this.evacuations.has(failureDomain)) return this.confirm();
    if (this.isSuperseded(order)) return this.outcome('superseded');
    this.evacuations.delete(failureDomain);
    this.revision++;
    return this.outcome('changed');
  }

  /**
   * Acknowledges an order without an effect. An opposite order that was given up
   * before it must not take effect afterwards, so the revision rises.
   */
  private confirm(): EvacuationOutcome {
    this.revision++;
    return this.outcome('unchanged');
  }

  private isSuperseded({
    seenRevision,
  }: StartEvacuation | FinishEvacuation): boolean {
    return seenRevision !== this.revision;
  }

  private outcome(kind: EvacuationOutcome['kind']): EvacuationOutcome {
    return {kind, revision: this.revision};
  }
}

/** How one list of evacuations differs from an earlier one. */
export interface EvacuationChanges {
  began: Evacuation[];
  ended: Evacuation[];
}

/** Compares two lists; an evacuation that was ordered anew has ended and begun. */
export function compareEvacuations(
  before: Evacuations,
  after: Evacuations,
): EvacuationChanges {
  return {
    began: without(after, before),
    ended: without(before, after),
  };
}

/** Returns the evacuations of a list that another one doesn't have. */
function without(list: Evacuations, other: Evacuations): Evacuation[] {
  const revisions = new Set(other.evacuations.map(({revision}) => revision));
  return list.evacuations.filter(({revision}) => !revisions.has(revision));
}

/** Whether a text can be the name of a failure domain. */
export function isFailureDomainName(name: string): boolean {
  if (name === '' || name.length > maxFailureDomainCharacters) return false;
  return !/[\p{Cc}\p{Zl}\p{Zp}]/u.test(name);
}
