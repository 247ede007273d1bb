/** The inventory that operators publish: places, services and servers. */
export interface Inventory {
  readonly places: readonly Place[];
  readonly services: readonly Service[];
  readonly servers: readonly Server[];
}

export interface Place {
  readonly name: string;
  readonly dataCentre: string;
}

export interface Service {
  readonly name: string;
  /** Hash ranges of its keys; fixed for the life of the service. */
  readonly shards: number;
  /** Groups of shards, each with one leader; fixed like `shards`. */
  readonly cells: number;
  /** Whether its servers check who gives them an order. */
  readonly checksFences: boolean;
}

export interface Server {
  readonly name: string;
  readonly service: string;
  readonly place: string;
  /** `ip:port`. */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
}
