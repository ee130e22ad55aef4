import type { Configuration } from '../types/configuration.ts';
import type { Route } from '../types/route.ts';

function byLongestPrefix(a: Route, b: Route): number {
  return b.pathPrefix.length - a.pathPrefix.length;
}

/** Looks up the route of a request by its host and the longest matching path prefix. */
export class RouteTable {
  readonly #byHost: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  constructor(configuration: Configuration) {
    const byHost = new Map<string, Map<string, Route>>();
    for (const route of configuration.routes.toSorted(byLongestPrefix)) {
      const host = route.host.toLowerCase();
      const routes = byHost.get(host) ?? new Map<string, Route>();
      routes.set(route.pathPrefix, route);
      byHost.set(host, routes);
    }
    this.#byHost = byHost;
  }

  /** Returns the route for `path` (without query) at `host` (without port), if there is one. */
  find(host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(host.toLowerCase());
    if (!routes) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route) return route;
      if (end === 0) return undefined;
    }
    return undefined;
  }
}
