import {type Bill, type BudgetView} from '@dogwoodtrestle/schema';
import {expect, it} from 'vitest';

import {renderReport} from '../src/report/renderReport.js';
import {type SpanRecord} from '../src/report/spans.js';

function budgetOf(customer: string): BudgetView {
  return {
    customer,
    currency: 'CAD',
    contractVersion: 1,
    retired: false,
    prepaid: 5_000_000,
    toppedUp: 0,
    billed: 1_250_000,
    reserved: 0,
    granted: 0,
    available: 3_750_000,
    openRequests: 0,
    grants: [],
    workspaces: [],
  };
}

function billOf(cost: number): Bill {
  return {
    requestKey: `desk/w/${cost}`,
    customer: 'desk',
    workspace: 'w',
    target: {kind: 'model', name: 'm'},
    cost,
    outcome: 'completed',
    attempt: 1,
    contractVersion: 1,
    inputPrice: 1,
    outputPrice: 1,
    instance: 'r1',
    traceId: 't',
    settledAt: 1_700_000_000_000 + cost,
    index: cost,
  };
}

function spanOf(name: string, durationMs: number, status: number): SpanRecord {
  const attributes = {'http.response.status_code': status};
  return {name, durationMs, startMs: 0, status: 'ok', attributes};
}

const data = {createdAt: 0, budgets: [budgetOf('<desk>')], bills: [billOf(5)]};

it('renders a page without external resources', () => {
  const spans = [
    spanOf('caller to router', 12, 200),
    spanOf('caller to router', 3, 402),
  ];
  const page = renderReport({...data, spans});
  expect(page.match(/<svg/g)).toHaveLength(5);
  expect(page).toContain('&lt;desk&gt;');
  expect(page).toContain('HTTP 402');
  expect(page).not.toMatch(/(src|href)="http/);
});

it('names the sections that need spans', () => {
  const page = renderReport({...data, spans: []});
  expect(page.match(/<svg/g)).toHaveLength(3);
  expect(page.match(/Not shown/g)).toHaveLength(2);
});
