/**
 * @fileoverview Keeps one request from servers that it may crash, and records
 * what becomes of it there.
 */
import {rendezvousWeight, subjectKind} from '@dogwoodtrestle/fleet';

import {type AttemptEnd, type AttemptProgress} from './attemptProgress.js';
import {type GuardedRequest} from './crashSubjects.js';
import {type EdgeContext} from './edgeContext.js';
import {subjectOf} from './requestIdentity.js';
import {type RoutedRequest} from './routedRequest.js';
import {sharedParts} from './serverSelection.js';

/** Servers that may crash at a request before it is no longer sent on. */
const maxCrashes = 1;

/** Guards the attempts of one request. */
export class RequestGuard {
  private readonly guarded: GuardedRequest;
  /** The request itself, as a subject. */
  private readonly own: string;
  private readonly hash: number;
  /** Servers that closed the connection before the answer had gone far. */
  private crashes = 0;

  constructor(
    private readonly context: Pick<EdgeContext, 'crashes' | 'crashSubjects'>,
    input: RoutedRequest,
  ) {
    const {request, workspace} = input;
    const parts = sharedParts(request.generation)
      .map(({id}) => id)
      // An id in the form of a request's would be taken for that request.
      .filter(id => subjectKind(id) === 'part');
    this.own = subjectOf(input);
    const session = request.generation?.parts.at(-1)?.id ?? this.own;
    this.hash = rendezvousWeight('prompt', session);
    this.guarded = {
      subjects: [this.own, ...parts],
      workspace: workspace?.name ?? '',
      trials: new Set<string>(),
    };
  }

  /** Returns the blocked subject of the request, if it has one. */
  findBlocked(): string | undefined {
    return this.context.crashSubjects.findBlocked(this.guarded);
  }

  /** Whether the request may be sent to another server after an attempt. */
  mayResend(): boolean {
    if (this.crashes > maxCrashes || this.guarded.trials.size > 0) return false;
    if (
      this.crashes > 0 &&
      this.context.crashSubjects.isSuspect(this.guarded)
    ) {
      return false;
    }
    return this.findBlocked() === undefined;
  }

  /** Records that an attempt starts. */
  begin(progress: AttemptProgress): void {
    const {subjects, workspace} = this.guarded;
    progress.open = {subjects, workspace, hash: this.hash, events: 0};
    this.context.crashes.begin(progress.server.record, progress.open);
  }

  /** Records how an attempt ended; only the first call counts. */
  end(progress: AttemptProgress, end: AttemptEnd): void {
    const {open, server} = progress;
    if (open === undefined) return;
    progress.open = undefined;
    const isBroken = end === 'broke';
    if (isBroken && open.events === 0) this.crashes++;
    const {crashes, crashSubjects} = this.context;
    if (end === 'whole') crashSubjects.recordAnswer(open.subjects);
    // A failure may come before a server begins to work on the prompt's parts.
    if (end === 'failed') crashSubjects.recordAnswer([this.own]);
    crashes.end(server.record, open, isBroken ? 'broken' : 'other');
  }
}
