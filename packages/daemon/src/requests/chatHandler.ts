/**
 * @fileoverview Serves chat requests: opens them in the ledger, joins retries
 * to the first request, and starts runs.
 */
import {
  type DuplicateResult,
  type ModelTerms,
  type OpenRequest,
} from '@dogwoodtrestle/schema';

import {ResponseBuffer} from './responseBuffer.js';
import {responseNotKept} from './responseNotKept.js';
import {type ResponseStore} from './responseStore.js';
import {type ChatBody, parseChatBody} from './chatBody.js';
import {type ChatRunParts} from './chatJob.js';
import {runChat} from './chatRun.js';
import {boundCost, type CostBound} from './costBound.js';
import {type ContractLimiter} from './contractLimiter.js';
import {type OpenedRequest} from './openedRequest.js';
import {type RequestOpener} from './requestOpener.js';
import {refreshCaller} from './refreshCaller.js';
import {refusal} from './refusal.js';
import {fingerprintOf} from './requestKey.js';
import {
  type Caller,
  recordCaller,
  requestKeyOf,
  type RequestScope,
} from './requestScope.js';
import {type IncomingRequest} from './incomingRequest.js';

/** Contract updates that one request tolerates while it is opened. */
const maximumContractRefreshes = 3;

/** Dependencies of the handler. */
export interface ChatHandlerParts extends ChatRunParts {
  opener: RequestOpener;
  answers: ResponseStore;
  limiter: ContractLimiter;
}

/** A chat request with its cost bound under one contract version. */
interface BoundChat {
  caller: Caller;
  terms: ModelTerms;
  bound: CostBound;
}

/** Serves chat requests. */
export class ChatHandler {
  constructor(private readonly parts: ChatHandlerParts) {}

  /**
   * Serves one request.
   *
   * @returns The response, which may still be in progress.
   * @throws RefusalError if the request can't be run or joined.
   */
  async serve(
    scope: RequestScope,
    caller: Caller,
    request: IncomingRequest,
  ): Promise<ResponseBuffer> {
    const body = parseChatBody(request.json());
    const {requestKey, fromCaller} = requestKeyOf(
      request.headers,
      caller,
      scope.requestId,
    );
    recordCaller(scope, caller, requestKey);
    const knownResponse = this.parts.answers.find(requestKey);
    const fingerprint = fingerprintOf(['chat', request.body]);
    const release = await this.parts.limiter.acquire(caller, scope, {
      kind: 'model',
      name: body.model,
    });
    try {
      const {opening, bounded} = await this.open(scope, caller, body, {
        requestKey,
        fingerprint,
      });
      if (opening.kind === 'duplicate') {
        const joined = await this.join(opening.result, knownResponse);
        if ('answer' in joined) {
          release();
          return joined.answer;
        }
        return this.start(
          scope,
          body,
          bounded,
          joined.opened,
          fromCaller,
          release,
        );
      }
      return this.start(
        scope,
        body,
        bounded,
        opening.opened,
        fromCaller,
        release,
      );
    } catch (error) {
      release();
      throw error;
    }
  }

  /** Opens a request, and again under a newer contract if this one is stale. */
  private async open(
    scope: RequestScope,
    caller: Caller,
    body: ChatBody,
    identity: {requestKey: string; fingerprint: string},
  ): Promise<{
    opening:
      | {kind: 'opened'; opened: OpenedRequest}
      | {kind: 'duplicate'; result: DuplicateResult};
    bounded: BoundChat;
  }> {
    const {dependencies, opener} = this.parts;
    let current = caller;
    for (
      let refreshes = 0;
      refreshes <= maximumContractRefreshes;
      refreshes++
    ) {
      const bounded = await this.bound(current, body);
      const command = openCommand(
        scope,
        bounded,
        identity,
        dependencies.holder,
      );
      scope.explanation.add('open', {
        maximumCost: command.maximumCost,
        contractVersion: command.contractVersion,
      });
      const opening = await opener.open(
        command,
        scope.context,
        current.view.contract.partition.exhaustionWaitMilliseconds,
      );
      if (opening.kind !== 'staleContract') return {opening, bounded};
      current = await refreshCaller(this.parts.dependencies, current);
    }
    throw refusal('overloaded', {
      message: 'The contract is changing; try again.',
    });
  }

  /**
   * Bounds the cost of a request. The contract is refreshed first if it does
   * not include the model.
   */
  private async bound(caller: Caller, body: ChatBody): Promise<BoundChat> {
    let current = caller;
    let terms = termsOf(current, body.model);
    if (terms === undefined) {
      current = await refreshCaller(this.parts.dependencies, caller);
      terms = termsOf(current, body.model);
    }
    if (terms === undefined) {
      throw refusal('modelNotAllowed', {
        message: `The contract does not include the model '${body.model}'.`,
        param: 'model',
        inputs: {model: body.model, contractVersion: current.view.version},
      });
    }
    const {maximumOutputTokens} = this.parts.dependencies.settings.requests;
    const maximumOutput =
      body.max_completion_tokens ?? body.max_tokens ?? maximumOutputTokens;
    return {
      caller: current,
      terms,
      bound: boundCost(body, terms, maximumOutput),
    };
  }

  /**
   * Finds the response of a request that was opened before, or adopts the
   * request if its holder no longer runs.
   */
  private async join(
    result: DuplicateResult,
    known: ResponseBuffer | undefined,
  ): Promise<{answer: ResponseBuffer} | {opened: OpenedRequest}> {
    const {answers, dependencies, opener} = this.parts;
    const local = answers.find(result.requestKey) ?? known;
    if (local !== undefined && local.state !== 'failed') return {answer: local};
    if (result.status === 'settled') {
      const stored =
        result.answer ??
        (await dependencies.instances.fetchAnswer(
          result.holder,
          result.requestKey,
        ));
      if (stored === undefined) throw responseNotKept(result);
      return {answer: ResponseBuffer.fromStored(stored)};
    }
    if (dependencies.instances.isAlive(result.holder)) {
      throw refusal('requestRunning');
    }
    const adopted = await opener.adopt(result);
    if (adopted === undefined) throw refusal('requestRunning');
    return {opened: adopted};
  }

  private start(
    scope: RequestScope,
    body: ChatBody,
    {caller, terms, bound}: BoundChat,
    opened: OpenedRequest,
    hasCallerKey: boolean,
    release: () => void,
  ): ResponseBuffer {
    const {dependencies, answers, selector} = this.parts;
    const answer = new ResponseBuffer();
    const ended = new AbortController();
    const deadline = setTimeout(
      () => ended.abort('deadline'),
      dependencies.settings.requests.deadlineMilliseconds,
    );
    // A caller that chose the key can retry to get the response.
    if (!hasCallerKey) answer.onAbandoned(() => ended.abort('callerLeft'));
    answers.add(opened.requestKey, answer);
    selector.recordRequest();
    void runChat(this.parts, {
      requestId: scope.requestId,
      body,
      terms,
      bound,
      priority: caller.view.contract.priority,
      opened,
      answer,
      context: scope.context,
      explanation: scope.explanation,
      signal: ended.signal,
    }).finally(() => {
      clearTimeout(deadline);
      answers.finish(opened.requestKey);
      release();
    });
    return answer;
  }
}

function termsOf({view}: Caller, model: string): ModelTerms | undefined {
  return view.contract.models.find(terms => terms.name === model);
}

function openCommand(
  scope: RequestScope,
  {caller, terms, bound}: BoundChat,
  {requestKey, fingerprint}: {requestKey: string; fingerprint: string},
  holder: string,
): OpenRequest {
  return {
    kind: 'openRequest',
    requestKey,
    fingerprint,
    customer: caller.view.contract.customer,
    workspace: caller.workspace.name,
    target: {kind: 'model', name: terms.name},
    maximumCost: bound.maximumCost,
    unknownCost: bound.unknownCost,
    contractVersion: caller.view.version,
    holder,
    idempotent: true,
    traceId: scope.traceId,
  };
}
