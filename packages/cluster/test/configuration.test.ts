/** The configuration of a node: only newer versions are adopted, and in time although a connection is unresponsive. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as configurations from '../src/configuration.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

function write(version: number, prefixes: readonly string[]): string {
  return JSON.stringify({
    version,
    maxBodyBytes: 1_000,
    routes: prefixes.map((pathPrefix) => ({
      host: 'host',
      pathPrefix,
      policy: { name: pathPrefix },
    })),
  });
}

vitest.describe('the configuration', () => {
  vitest.it(
    'is read again within three seconds when a read gets no answer (guards against an outdated version after a connection became unresponsive)',
    async () => {
      const context = fakes.createFakeContext();
      context.configuration.add('config', write(1, ['/a/']));
      const view = configurations.createConfigurationView(context);
      // The long-polling read is sent on a connection that never answers.
      context.configuration.unresponsive = true;
      view.open();
      await fakes.advance(context.fakeTimers, 1_500);
      vitest.expect(view.getCurrent()?.version).toBe(1);
      context.configuration.unresponsive = false;
      context.configuration.add('config', write(2, ['/b/']));
      await fakes.advance(context.fakeTimers, 2_900);
      vitest.expect(view.getCurrent()?.version).toBe(2);
      view.close();
    },
  );

  vitest.it(
    'is as old as the answer that a process reads after a pause (guards against a revoked key that is served because an old answer counts as a new one)',
    async () => {
      const PAUSE_MS = 10_000;
      const context = fakes.createFakeContext();
      const { configuration, timers } = context;
      configuration.add('config', write(1, ['/a/']));
      const paused: ports.ConfigurationSource = {
        ...context.ports.configuration,
        async read(from, options) {
          const result = await configuration.read(from, options);
          if (options.waitMs > 0)
            await core.waitFor(timers, 'test.pause', PAUSE_MS);
          return result;
        },
      };
      const view = configurations.createConfigurationView({
        ...context,
        ports: { ...context.ports, configuration: paused },
      });
      view.open();
      await fakes.advance(context.fakeTimers, 100);
      vitest.expect(view.getReadAge()).toBeLessThan(200);
      vitest.expect(view.isStale()).toBe(false);
      await fakes.advance(context.fakeTimers, PAUSE_MS + 1_200);
      vitest.expect(view.getReadAge()).toBeGreaterThanOrEqual(PAUSE_MS);
      vitest.expect(view.isStale()).toBe(true);
      view.close();
    },
  );

  vitest.it(
    'ignores an older version that is read after a newer one',
    async () => {
      const context = fakes.createFakeContext();
      context.configuration.add('config', write(5, ['/a/']));
      const view = configurations.createConfigurationView(context);
      view.open();
      await fakes.advance(context.fakeTimers, 100);
      context.configuration.add('config', write(4, ['/b/']));
      await fakes.advance(context.fakeTimers, 100);
      vitest.expect(view.getCurrent()?.version).toBe(5);
      view.close();
    },
  );

  vitest.it('matches a path to the longest prefix of its host', async () => {
    const context = fakes.createFakeContext();
    context.configuration.add('config', write(1, ['/a/', '/a/b/']));
    const view = configurations.createConfigurationView(context);
    view.open();
    await fakes.advance(context.fakeTimers, 100);
    vitest.expect(view.findRoute('host', '/a/b/c')).toMatchObject({
      route: { pathPrefix: '/a/b/' },
      rest: 'c',
    });
    vitest.expect(view.findRoute('other', '/a/b/c')).toBeUndefined();
    view.close();
  });
});
