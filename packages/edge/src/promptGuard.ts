/**
 * @fileoverview Keeps one request from servers that its prompt may crash, and
 * records what becomes of it there.
 */
import {rendezvousWeight} from '@dogwoodtrestle/fleet';

import {type AttemptEnd, type AttemptProgress} from './attemptProgress.js';
import {type EdgeContext} from './edgeContext.js';
import {type GuardedPrompt} from './promptParts.js';
import {type RoutedRequest} from './routedRequest.js';
import {sharedParts} from './serverSelection.js';

/** Servers that may crash at a request before it is no longer sent on. */
const maxCrashes = 1;

/** Guards the attempts of one request. */
export class PromptGuard {
  private readonly prompt: GuardedPrompt;
  private readonly hash: number;
  /** Servers that closed the connection before the answer had gone far. */
  private crashes = 0;

  constructor(
    private readonly context: Pick<EdgeContext, 'crashes' | 'promptParts'>,
    {request, workspace}: RoutedRequest,
  ) {
    const parts = sharedParts(request.generation).map(({id}) => id);
    const own = request.generation?.parts.at(-1)?.id ?? request.attemptId;
    this.hash = rendezvousWeight('prompt', own);
    const trials = new Set<string>();
    this.prompt = {parts, workspace: workspace?.name ?? '', trials};
  }

  /** Returns the blocked part of the prompt, if it has one. */
  findBlocked(): string | undefined {
    return this.context.promptParts.findBlocked(this.prompt);
  }

  /** Whether the prompt may be sent to another server after an attempt. */
  mayResend(): boolean {
    if (this.crashes > maxCrashes || this.prompt.trials.size > 0) return false;
    if (this.crashes > 0 && this.context.promptParts.isSuspect(this.prompt)) {
      return false;
    }
    return this.findBlocked() === undefined;
  }

  /** Records that an attempt starts. */
  begin(progress: AttemptProgress): void {
    if (this.prompt.parts.length === 0) return;
    const {parts, workspace} = this.prompt;
    progress.prompt = {parts, workspace, hash: this.hash, events: 0};
    this.context.crashes.begin(progress.server.record, progress.prompt);
  }

  /** Records how an attempt ended; only the first call counts. */
  end(progress: AttemptProgress, end: AttemptEnd): void {
    const {prompt, server} = progress;
    if (prompt === undefined) return;
    progress.prompt = undefined;
    const isBroken = end === 'broke';
    if (isBroken && prompt.events === 0) this.crashes++;
    if (end === 'whole') this.context.promptParts.recordAnswer(prompt.parts);
    this.context.crashes.end(
      server.record,
      prompt,
      isBroken ? 'broken' : 'other',
    );
  }
}
