/** @fileoverview Tests of wanted offers and of the orders planned for them. */
import {type Contract} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {
  type BackendStatus,
  OrderPlanner,
  type OrderPlannerInput,
  type WantedOffer,
  wantedOffers,
} from '../src/index.js';
import {announcementOf} from './fixtures.js';

type Overrides = Parameters<typeof announcementOf>[1];

function serverOf(name: string, overrides: Overrides = {}): BackendStatus {
  const announcement = announcementOf(name, {models: [], ...overrides});
  const entry = {announcement, observedAt: 0};
  return {entry, state: 'serving', ageMilliseconds: 0};
}

function inputOf(overrides: Partial<OrderPlannerInput>): OrderPlannerInput {
  return {
    wanted: [],
    servers: [],
    fencingNumber: 7,
    olderIssuersEnded: false,
    now: 0,
    ...overrides,
  };
}

const wanted: WantedOffer = {model: 'm', servers: 2, priority: 'normal'};
const loaded = {models: [{name: 'm', adapters: []}]};
const unfenced = {
  features: {...announcementOf('x').features, fencing: 'ignored' as const},
};

describe('wantedOffers', () => {
  it('derives offers from contracts and demand, urgent first', () => {
    const contracts = [
      {priority: 'normal', models: [{name: 'm', adapters: ['a']}]},
      {priority: 'urgent', models: [{name: 'm', adapters: []}]},
    ] as unknown as Contract[];
    const demand = ({adapter}: {adapter?: string}) => (adapter ? 0 : 30);
    expect(wantedOffers({contracts, demand, serverCapacity: 10})).toEqual([
      {model: 'm', version: undefined, servers: 5, priority: 'urgent'},
      {
        model: 'm',
        version: undefined,
        adapter: 'a',
        servers: 2,
        priority: 'normal',
      },
    ]);
  });
});

describe('OrderPlanner', () => {
  it.each([
    {
      name: 'loads a model in another failure domain',
      servers: [
        serverOf('a', loaded),
        serverOf('b'),
        serverOf('c', {failureDomain: 'x'}),
      ],
      wanted: [wanted],
      orders: [{server: 'c', order: 'loadModel', fencingNumber: 7}],
    },
    {
      name: 'loads an adapter where the model is loaded',
      servers: [serverOf('a'), serverOf('b', loaded)],
      wanted: [{...wanted, adapter: 'x', servers: 1}],
      orders: [{server: 'b', order: 'loadAdapter', adapter: 'x'}],
    },
    {
      name: 'loads a version where another one is loaded',
      servers: [serverOf('b', loaded)],
      wanted: [{...wanted, version: '2', servers: 1}],
      orders: [{server: 'b', order: 'loadVersion', version: '2'}],
    },
    {
      name: 'sends no order for what is loaded',
      servers: [serverOf('a', loaded), serverOf('b', loaded), serverOf('c')],
      wanted: [wanted],
      orders: [],
    },
    {
      name: 'sends no order to a server that ignores fencing',
      servers: [serverOf('a', unfenced)],
      wanted: [wanted],
      orders: [],
    },
  ])('$name', each => {
    const planner = new OrderPlanner(0);
    expect(planner.plan(inputOf(each))).toMatchObject(each.orders);
  });

  it('sends orders to servers without fencing once older issuers ended', () => {
    const servers = [serverOf('a', unfenced)];
    const plan = inputOf({servers, wanted: [wanted], olderIssuersEnded: true});
    expect(new OrderPlanner(0).plan(plan)).toHaveLength(1);
  });

  it('keeps to the weight store’s rate and repeats only failed orders', () => {
    const planner = new OrderPlanner(0, {loadsPerMinute: 60, burst: 2});
    const servers = ['a', 'b', 'c', 'd', 'e'].map(each => serverOf(each));
    const many = [{...wanted, servers: 4}];
    const counts = [0, 0, 1_000, 2_000, 3_000, 130_000].map(
      now => planner.plan(inputOf({servers, wanted: many, now})).length,
    );
    expect(counts).toEqual([2, 0, 1, 1, 0, 2]);
  });
});
