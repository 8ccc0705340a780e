package maplerail.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import maplerail.soak.EngineStandIn.Behaviour;
import maplerail.soak.ShimControl.Field;

/** The faults that a run injects. Each one begins, lasts for some time and then restores normal service. */
enum Trouble {
    RESTART {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, GatewayProcess::restart);
        }
    },
    CRASH {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, GatewayProcess::crashAndStart);
        }
    },
    NEW_CONFIGURATION {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, gateway -> gateway.moveDiscovery(0, 0));
        }
    },
    NEW_CONFIGURATION_UNREADABLE_AT_FIRST {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 100 + random.nextInt(900);
            withOneGateway(fleet, random, gateway -> gateway.moveDiscovery(ShimControl.EIO, forMs));
        }
    },
    CLOCK_STEP_AND_RESTART {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            long[] steps = {3_600_000, -3_600_000, 7_000, -7_000};
            long offsetMs = steps[random.nextInt(steps.length)];
            withOneGateway(fleet, random, gateway -> {
                gateway.shim.wallOffsetMs(offsetMs);
                gateway.restart();
            });
        }
    },
    SYSTEM_CALLS_FAIL {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            Field[] fields = {Field.ACCEPT_ERRNO, Field.CONNECT_ERRNO, Field.SOCKET_ERRNO};
            int[][] errors = {{ShimControl.ECONNABORTED, ShimControl.ENFILE, ShimControl.EMFILE, ShimControl.ENOBUFS},
                    {ShimControl.EADDRNOTAVAIL, ShimControl.ENETUNREACH},
                    {ShimControl.ENFILE, ShimControl.EMFILE, ShimControl.ENOBUFS}};
            int which = random.nextInt(fields.length);
            int error = errors[which][random.nextInt(errors[which].length)];
            int forMs = 50 + random.nextInt(600);
            withOneGateway(fleet, random, gateway -> {
                gateway.shim.set(fields[which], error);
                TimeUnit.MILLISECONDS.sleep(forMs);
                gateway.shim.set(fields[which], 0);
            });
        }
    },
    SHORT_AND_BROKEN_READS {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int error = random.nextBoolean() ? ShimControl.ETIMEDOUT : ShimControl.EHOSTUNREACH;
            int permille = random.nextInt(3) * 5;
            int maxIoBytes = 1 + random.nextInt(200);
            withOneGateway(fleet, random, gateway -> {
                gateway.setReadFaults(permille == 0 ? 0 : error, permille, maxIoBytes);
                gateway.shim.set(Field.EINTR_PERMILLE, 100);
                TimeUnit.MILLISECONDS.sleep(3_000);
                gateway.setReadFaults(0, 0, 0);
                gateway.shim.clear();
            });
        }
    },
    GATEWAY_STALLS {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, gateway -> {
                for (int i = 0; i < 6; i++) {
                    gateway.stall(STALL_MS);
                    TimeUnit.MILLISECONDS.sleep(300);
                }
            });
        }
    },
    ENGINE_MISBEHAVES {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            Behaviour[] candidates = {Behaviour.HANGS, Behaviour.FAILS, Behaviour.RESETS, Behaviour.SLOW,
                    Behaviour.DECLINES};
            Behaviour behaviour = candidates[random.nextInt(candidates.length)];
            int forMs = 2_000 + random.nextInt(4_000);
            fleet.withOneEngine(random, engine -> {
                engine.setBehaviour(behaviour);
                TimeUnit.MILLISECONDS.sleep(forMs);
                engine.setBehaviour(Behaviour.HEALTHY);
            });
        }
    },
    WRITERS_STOP {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withRole(false, random, engine -> engine.setBehaviour(Behaviour.STOPPED),
                    engine -> engine.setBehaviour(Behaviour.HEALTHY), 800 + random.nextInt(2_400));
        }
    },
    ROLLING_RESTART {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withGatewaysInTurn(MAX_GATEWAYS_IN_TURN, GatewayProcess::reloadAndRestart);
        }
    },
    IDLE_CROWD {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(2_000);
            boolean crowdSends = random.nextBoolean();
            withOneGateway(fleet, random, gateway -> {
                List<Socket> crowd = new ArrayList<>();
                try {
                    for (int i = 0; i < CROWD_SIZE; i++) crowd.add(new Socket("127.0.0.1", gateway.port));
                    // The clients that send a request close their connections themselves.
                    List<Socket> senders = crowdSends ? List.copyOf(crowd.subList(0, CROWD_SENDERS)) : List.of();
                    crowd.removeAll(senders);
                    fleet.sendAtOnce(gateway, senders);
                    TimeUnit.MILLISECONDS.sleep(forMs);
                } catch (IOException e) {
                    return; // the gateway was not up
                } finally {
                    crowd.forEach(DaemonThreads::closeQuietly);
                }
            });
        }
    },
    ENGINE_RESTARTS {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int listLateMs = 100 + random.nextInt(1_500);
            int downMs = 500 + random.nextInt(3_000);
            fleet.withOneEngine(random, engine -> {
                engine.kill();
                TimeUnit.MILLISECONDS.sleep(listLateMs);
                engine.health = "terminated";
                fleet.directory.publish(engine);
                TimeUnit.MILLISECONDS.sleep(downMs);
                engine.start();
                engine.health = "in_service";
                TimeUnit.MILLISECONDS.sleep(listLateMs);
                fleet.directory.publish(engine);
            });
        }
    },
    ENGINE_DRAINS {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 2_000 + random.nextInt(3_000);
            fleet.withOneEngine(random, engine -> {
                engine.health = "terminating";
                fleet.directory.publish(engine);
                TimeUnit.MILLISECONDS.sleep(forMs);
                engine.health = "in_service";
                fleet.directory.publish(engine);
            });
        }
    },
    CONNECTIONS_FALL_SILENT {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withOneEngine(random, engine -> {
                engine.proxy.silenceOpenConnections();
                TimeUnit.MILLISECONDS.sleep(500);
            });
        }
    },
    ENGINE_CUT_OFF {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(4_000);
            fleet.withOneEngine(random, engine -> {
                fleet.ledger.setReachable(engine.host, false);
                engine.proxy.setCutOff(true);
                TimeUnit.MILLISECONDS.sleep(forMs);
                engine.proxy.setCutOff(false);
                fleet.ledger.setReachable(engine.host, true);
            });
        }
    },
    CONNECTIONS_RESET {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withOneEngine(random, engine -> engine.proxy.resetConnections());
        }
    },
    NETWORK_SLOW {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withOneEngine(random, engine -> {
                engine.proxy.delayBytes(200);
                TimeUnit.MILLISECONDS.sleep(300);
            });
        }
    },
    DISCOVERY_SILENT {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(5_000);
            boolean busy = random.nextBoolean();
            List<DiscoveryAgent> agents = fleet.agents();
            for (DiscoveryAgent agent : agents) {
                if (busy) agent.setBusy(true);
                else agent.setSilent(true);
            }
            TimeUnit.MILLISECONDS.sleep(forMs);
            for (DiscoveryAgent agent : agents) {
                agent.setSilent(false);
                agent.setBusy(false);
            }
        }
    },
    /** Readers stop, some of them in the middle of reads, and later continue the reads that they had begun. */
    READERS_STOP {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withRole(true, random, engine -> {
                // States held there can be released only once the reader runs again.
                fleet.ledger.setReachable(engine.host, false);
                engine.setBehaviour(Behaviour.STOPPED);
            }, engine -> {
                engine.setBehaviour(Behaviour.HEALTHY);
                fleet.ledger.setReachable(engine.host, true);
            }, 800 + random.nextInt(2_400));
        }
    },
    /** New connections to a reader work at first, but each falls silent in the middle of a read, which goes on. */
    READER_LOSES_READS {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(2_000);
            fleet.withOneReader(random, reader -> {
                reader.setBehaviour(Behaviour.LOSES_READS);
                TimeUnit.MILLISECONDS.sleep(forMs);
                reader.setBehaviour(Behaviour.HEALTHY);
            });
        }
    },
    /** Streams of writers become spoilt behind sound events, and bytes keep coming for as long as they are open. */
    STREAMS_SPOILT {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withRole(false, random, engine -> engine.setBehaviour(Behaviour.SPOILS),
                    engine -> engine.setBehaviour(Behaviour.HEALTHY), 800 + random.nextInt(2_400));
        }
    },
    /** Writers are full: writes wait there, while their states wait at the readers. */
    WRITERS_FULL {
        @Override
        void inject(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withRole(false, random, engine -> engine.setBehaviour(Behaviour.FULL),
                    engine -> engine.setBehaviour(Behaviour.HEALTHY), 800 + random.nextInt(2_400));
        }
    };

    /** The troubles that a run draws from by default; a seed keeps its draws only as long as they are the same. */
    static final List<Trouble> DEFAULTS = List.copyOf(EnumSet.range(RESTART, READER_LOSES_READS));

    private static final int STALL_MS = 120; // up to 150 ms including the time to send the signals
    private static final int MAX_GATEWAYS_IN_TURN = 3;
    private static final int CROWD_SIZE = 150; // idle clients: over half of the connections that one gateway allows
    private static final int CROWD_SENDERS = 60; // of the crowd, in some runs, send a request all at once

    /** An action on a gateway. */
    interface GatewayAction {
        void apply(GatewayProcess gateway) throws Exception;
    }

    abstract void inject(SoakFleet fleet, SplittableRandom random) throws Exception;

    private static void withOneGateway(SoakFleet fleet, SplittableRandom random, GatewayAction action)
            throws Exception {
        fleet.withOneGateway(random, action);
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
