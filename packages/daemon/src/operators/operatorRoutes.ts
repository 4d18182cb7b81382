/**
 * @fileoverview The operator HTTP API, which every daemon serves.
 */
import {checkContract as checkTerms} from '@dogwoodtrestle/ledger';
import {
  type BackendView,
  type ChangeResult,
  type Command,
  type ExplanationView,
  type Finding,
  type InstanceView,
  type ReplicaView,
  validate,
} from '@dogwoodtrestle/schema';
import {
  type FastifyInstance,
  type FastifyPluginAsync,
  type FastifyReply,
} from 'fastify';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';
import {BearerKey} from '../util/bearerKey.js';
import {httpError} from '../util/httpError.js';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {operatorErrorHandler} from './operatorErrors.js';
import {parseBody, invalidInputError, parsePageQuery} from './operatorInput.js';

/** Dependencies of the operator API. */
export interface OperatorRoutesOptions {
  /** Key of the operators; without it all calls are refused. */
  operatorKey?: string;
  ledgerClient: Pick<LedgerClient, 'submit' | 'query'>;
  instances: () => InstanceView[];
  backends: () => BackendView[];
  replicas: () => Promise<ReplicaView[]>;
  explain: (requestId: string) => Promise<ExplanationView>;
  logger?: Logger;
}

const defaultOptions = {logger: silentLogger};

/** HTTP status by the state of a change. */
const changeStatus: Record<ChangeResult['state'], number> = {
  accepted: 200,
  pending: 202,
  rejected: 409,
};

const prefix = '/operator/v1';

/** Creates the Fastify plugin that serves the operator API. */
export function createOperatorRoutes(
  options: OperatorRoutesOptions,
): FastifyPluginAsync {
  const complete = {...defaultOptions, ...options};
  return async server => {
    server.setErrorHandler(operatorErrorHandler(complete.logger));
    addAuthentication(server, complete);
    addContractRoutes(server, complete);
    addBudgetRoutes(server, complete);
    addStatusRoutes(server, complete);
  };
}

function addAuthentication(
  server: FastifyInstance,
  {operatorKey}: OperatorRoutesOptions,
): void {
  const key =
    operatorKey === undefined ? undefined : new BearerKey(operatorKey);
  server.addHook('onRequest', async request => {
    if (key === undefined) {
      throw httpError(403, 'operators.keyFile is not set on this instance', {
        code: 'operatorsDisabled',
      });
    }
    if (!key.matches(request.headers.authorization)) {
      throw httpError(401, 'the operator key is missing or wrong', {
        code: 'invalidKey',
      });
    }
  });
}

interface CustomerPath {
  Params: {customer: string};
}

function addContractRoutes(
  server: FastifyInstance,
  {ledgerClient}: OperatorRoutesOptions,
): void {
  server.post(`${prefix}/contracts/check`, async ({body}) => ({
    findings: checkContract(body),
  }));
  server.get(`${prefix}/contracts`, () => ledgerClient.query('contracts'));
  server.get<CustomerPath>(`${prefix}/contracts/:customer`, async request => {
    const {customer} = request.params;
    return requireFound(
      await ledgerClient.query('contract', {customer}),
      customer,
    );
  });
  server.get<CustomerPath>(`${prefix}/contracts/:customer/history`, request =>
    ledgerClient.query('contractHistory', {customer: request.params.customer}),
  );
  server.put<CustomerPath>(
    `${prefix}/contracts/:customer`,
    async (request, reply) => {
      const change = parseBody('ContractChange', request.body);
      checkCustomer(request.params.customer, change.contract.customer);
      const command = {kind: 'applyContract' as const, ...change};
      return submitChange(ledgerClient, command, reply);
    },
  );
  server.post<CustomerPath>(
    `${prefix}/contracts/:customer/retire`,
    async (request, reply) => {
      const change = parseBody('Retirement', request.body);
      const {customer} = request.params;
      const command = {kind: 'retireContract' as const, customer, ...change};
      return submitChange(ledgerClient, command, reply);
    },
  );
  server.get<{Params: {changeId: string}}>(
    `${prefix}/changes/:changeId`,
    async ({params: {changeId}}) => {
      const change = await ledgerClient.query('change', {changeId});
      if (change !== undefined) return change;
      throw httpError(404, `no change has the id '${changeId}'`, {
        code: 'unknownChange',
      });
    },
  );
}

function addBudgetRoutes(
  server: FastifyInstance,
  {ledgerClient}: OperatorRoutesOptions,
): void {
  server.get(`${prefix}/budgets`, () => ledgerClient.query('budgets'));
  server.get<CustomerPath>(`${prefix}/budgets/:customer`, async request => {
    const {customer} = request.params;
    return requireFound(
      await ledgerClient.query('budget', {customer}),
      customer,
    );
  });
  server.post<CustomerPath>(
    `${prefix}/budgets/:customer/top-ups`,
    async (request, reply) => {
      const change = parseBody('TopUpChange', request.body);
      const {customer} = request.params;
      const command = {kind: 'topUp' as const, customer, ...change};
      return submitChange(ledgerClient, command, reply);
    },
  );
  server.get(`${prefix}/bills`, ({query}) =>
    ledgerClient.query('bills', parsePageQuery(query)),
  );
}

function addStatusRoutes(
  server: FastifyInstance,
  options: OperatorRoutesOptions,
): void {
  const {ledgerClient, instances, backends, replicas, explain} = options;
  server.get(`${prefix}/instances`, async () => instances());
  server.get(`${prefix}/backends`, async () => backends());
  server.get(`${prefix}/replicas`, () => replicas());
  server.get<{Params: {requestId: string}}>(
    `${prefix}/requests/:requestId`,
    ({params}) => explain(params.requestId),
  );
  server.get(`${prefix}/history`, ({query}) =>
    ledgerClient.query('history', parsePageQuery(query)),
  );
}

async function submitChange(
  ledgerClient: Pick<LedgerClient, 'submit'>,
  command: Command,
  reply: FastifyReply,
): Promise<unknown> {
  const result = await ledgerClient.submit(command);
  if (result.kind === 'change') {
    void reply.code(changeStatus[result.state]);
    return result;
  }
  const code = result.kind === 'refused' ? result.code : 'internal';
  throw httpError(409, `the change was refused: ${code}`, {code});
}

function checkContract(body: unknown): Finding[] {
  const result = validate('ContractCheck', body);
  if ('value' in result) return checkTerms(result.value.contract);
  return result.findings.map(finding => ({
    ...finding,
    path: finding.path.replace(/^\/contract/, ''),
  }));
}

function checkCustomer(inPath: string, inBody: string): void {
  if (inPath === inBody) return;
  throw invalidInputError('the body is invalid', [
    {
      path: '/contract/customer',
      message: `differs from the customer '${inPath}' of the path`,
    },
  ]);
}

function requireFound<T>(value: T | undefined, customer: string): T {
  if (value !== undefined) return value;
  throw httpError(404, `no contract of customer '${customer}' is known`, {
    code: 'unknownCustomer',
  });
}
