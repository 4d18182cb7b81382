/**
 * @fileoverview Serves calls to services.
 */
import {type StoredAnswer} from '@dogwoodtrestle/schema';

import {refusal} from './refusal.js';
import {
  type Caller,
  recordCaller,
  requestKeyOf,
  type RequestScope,
} from './requestScope.js';
import {type IncomingRequest} from './incomingRequest.js';
import {type ServiceHandlerParts, ServiceCallRun} from './serviceCallRun.js';
import {isNonIdempotent} from './serviceClient.js';

/** Service and path of a call. */
export interface ServicePath {
  service: string;
  /** Path and query below the route of the service. */
  path: string;
}

/** Serves calls to services. */
export class ServiceHandler {
  /** Calls in progress on this instance, by request key. */
  private readonly running = new Map<string, Promise<StoredAnswer>>();

  constructor(private readonly parts: ServiceHandlerParts) {}

  /** Number of calls in progress. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Whether a call with this key is in progress here. */
  isRunning(requestKey: string): boolean {
    return this.running.has(requestKey);
  }

  /**
   * Serves one call.
   *
   * @throws RefusalError if there is no response.
   */
  async serve(
    scope: RequestScope,
    caller: Caller,
    request: IncomingRequest,
    {service, path}: ServicePath,
  ): Promise<StoredAnswer> {
    const idempotent = !this.isNonIdempotentCall(service, request.method, path);
    const key = requestKeyOf(request.headers, caller, scope.requestId);
    if (!idempotent && !key.fromCaller) throw refusal('idempotencyKeyRequired');
    recordCaller(scope, caller, key.requestKey);
    const release = await this.parts.limiter.acquire(caller, scope, {
      kind: 'service',
      name: service,
    });
    const ended = new AbortController();
    const {deadlineMilliseconds} = this.parts.dependencies.settings.requests;
    const deadline = setTimeout(
      () => ended.abort('deadline'),
      deadlineMilliseconds,
    );
    try {
      const call = new ServiceCallRun(
        this.parts,
        this.running,
        scope,
        {
          requestId: scope.requestId,
          service,
          path,
          method: request.method,
          contentType: request.headers['content-type'],
          body: request.body,
          idempotent,
          context: scope.context,
          explanation: scope.explanation,
          signal: ended.signal,
        },
        key,
      );
      return await call.serve(caller);
    } finally {
      clearTimeout(deadline);
      release();
    }
  }

  /** Whether any server of the service announces the call as non-idempotent. */
  private isNonIdempotentCall(
    service: string,
    method: string,
    path: string,
  ): boolean {
    const {directory, now} = this.parts.dependencies;
    return directory
      .entries(now())
      .some(
        ({entry: {announcement}}) =>
          announcement.service?.name === service &&
          isNonIdempotent(announcement.service.nonIdempotent, method, path),
      );
  }
}
