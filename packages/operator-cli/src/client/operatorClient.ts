/**
 * @fileoverview Typed client of the operator HTTP API of any daemon.
 */
import {
  type BackendView,
  type Bill,
  type BudgetView,
  type ChangeResult,
  type ChangeView,
  type Contract,
  type ContractView,
  type ExplanationView,
  type Finding,
  type InstanceView,
  type ReplicaView,
} from '@dogwoodtrestle/schema';

import {RefusedError} from '../errors.js';
import {HttpTransport, type TransportOptions} from './httpTransport.js';

/** Who changes what, under which id. */
export interface ChangeMetadata {
  changeId: string;
  operator: string;
}

/** Selects bills. */
export interface BillFilter {
  customer?: string;
  /** Milliseconds since the epoch. */
  since?: number;
  /** Only bills of later log entries. */
  after?: number;
  /** Oldest bills first. */
  limit?: number;
}

/** A committed entry of the ledger's log. */
export interface HistoryEntry {
  index: number;
  term: number;
  timestamp: number;
  kind: string;
  commands?: unknown[];
}

const base = '/operator/v1';
const notFound = 404;

/** Client of the operator API. */
export class OperatorClient {
  private readonly transport: HttpTransport;

  constructor(readonly options: TransportOptions) {
    this.transport = new HttpTransport(options);
  }

  /** Returns a client of one daemon alone. */
  forDaemon(url: string): OperatorClient {
    return new OperatorClient({...this.options, urls: [url]});
  }

  /** Has a contract checked by a daemon. */
  async checkContract(contract: Contract): Promise<Finding[]> {
    const answer = await this.transport.send({
      method: 'POST',
      path: `${base}/contracts/check`,
      body: {contract},
    });
    return (answer as {findings: Finding[]}).findings;
  }

  /** Applies a contract that replaces the given version (0: a new one). */
  async applyContract(
    order: ChangeMetadata & {expectedVersion: number; contract: Contract},
  ): Promise<ChangeResult> {
    return this.change('PUT', `/contracts/${order.contract.customer}`, order);
  }

  /** Retires a contract. */
  async retireContract(
    customer: string,
    order: ChangeMetadata & {expectedVersion: number},
  ): Promise<ChangeResult> {
    return this.change('POST', `/contracts/${customer}/retire`, order);
  }

  /** Adds to a budget; the amount is in micros. */
  async topUp(
    customer: string,
    order: ChangeMetadata & {amount: number},
  ): Promise<ChangeResult> {
    return this.change('POST', `/budgets/${customer}/top-ups`, order);
  }

  /** Returns how a change stands, or undefined for an unknown id. */
  async findChange(changeId: string): Promise<ChangeResult | undefined> {
    return this.find<ChangeResult>(`/changes/${encodeURIComponent(changeId)}`);
  }

  /** Returns a contract, or undefined for an unknown customer. */
  async findContract(customer: string): Promise<ContractView | undefined> {
    return this.find<ContractView>(`/contracts/${customer}`);
  }

  async contracts(): Promise<ContractView[]> {
    return this.get('/contracts');
  }

  async contractHistory(customer: string): Promise<ChangeView[]> {
    return this.get(`/contracts/${customer}/history`);
  }

  async budgets(): Promise<BudgetView[]> {
    return this.get('/budgets');
  }

  async budget(customer: string): Promise<BudgetView> {
    return this.get(`/budgets/${customer}`);
  }

  async bills(filter: BillFilter = {}): Promise<Bill[]> {
    const query = new URLSearchParams();
    for (const [name, value] of Object.entries(filter)) {
      if (value !== undefined) query.set(name, String(value));
    }
    return this.get(`/bills?${query.toString()}`);
  }

  async instances(): Promise<InstanceView[]> {
    return this.get('/instances');
  }

  async backends(): Promise<BackendView[]> {
    return this.get('/backends');
  }

  async replicas(): Promise<ReplicaView[]> {
    return this.get('/replicas');
  }

  async explain(requestId: string): Promise<ExplanationView> {
    return this.get(`/requests/${encodeURIComponent(requestId)}`);
  }

  /** Returns committed entries after an index. */
  async history(after: number, limit: number): Promise<HistoryEntry[]> {
    return this.get(`/history?after=${after}&limit=${limit}`);
  }

  /** Returns whether a daemon's health check passes. */
  async isHealthy(check: 'live' | 'ready'): Promise<boolean> {
    try {
      await this.transport.send({method: 'GET', path: `/health/${check}`});
      return true;
    } catch {
      return false;
    }
  }

  private async get<T>(path: string): Promise<T> {
    return (await this.transport.send({
      method: 'GET',
      path: base + path,
    })) as T;
  }

  private async find<T>(path: string): Promise<T | undefined> {
    try {
      return await this.get<T>(path);
    } catch (error) {
      const missing =
        error instanceof RefusedError && error.status === notFound;
      if (missing) return undefined;
      throw error;
    }
  }

  private async change(
    method: 'PUT' | 'POST',
    path: string,
    body: object,
  ): Promise<ChangeResult> {
    const answer = await this.transport.send({
      method,
      path: base + path,
      body,
    });
    return answer as ChangeResult;
  }
}
