from tests.standins import shared_deployment


def before_feature(context, feature):
    context.shared_deployment = shared_deployment.SharedDeployment()


def after_feature(context, feature):
    context.shared_deployment.stop()
